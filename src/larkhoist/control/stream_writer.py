"""Append records to one keyed stream in batches, each batch exactly once."""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.control.answer_times import append_in_time, create_answer_times
from larkhoist.control.backoff import Backoff
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.ports.keyed_log import KeyedLogPort, KeyedRecord, WrittenBy
from larkhoist.problem import Problem

__all__ = ["StreamWriter"]

_logger = logging.getLogger(__name__)
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 0.4
MAX_BATCH_BYTES = 200_000
"""Bounds one append, well below what the platform takes in one call."""
RETRY_AFTER_S = 1.0
STALLED_S = 0.8
"""Once records have waited this long, new callers are refused rather than held; the
log usually answers in 4 ms, and in 0.3 s when it is slow."""


@dataclass(slots=True)
class _Pending:
    """Hold records that go together, and who waits for them."""

    records: tuple[KeyedRecord, ...]
    added_s: float
    done: asyncio.Future
    sent: bool = False
    refused: bool = False

    @property
    def size(self) -> int:
        return sum(len(r.key) + len(r.value) for r in self.records)


class StreamWriter:
    """Own the queue of what one writer appends, one batch under way at a time.

    A batch without an answer is appended again under its old sequence number, so
    that it takes effect once. A writer that was fenced appends nothing any more. One
    whose sequence the log does not want begins anew under a higher epoch; where the
    epoch is a term (``is_term``), the term is over instead.
    """

    def __init__(
        self,
        log: KeyedLogPort,
        stream: str,
        writer: str,
        epoch: int = 1,
        *,
        is_term: bool = False,
    ):
        self._log = log
        self._stream = stream
        self._writer = writer
        self._epoch = epoch
        self._is_term = is_term
        self._sequence = 1
        self._queue: deque[_Pending] = deque()
        self._under_way: list[_Pending] = []
        self._added = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._singly = 0
        self._failing = False
        self._times = create_answer_times()
        self.fenced = False

    async def start(self) -> None:
        """Begin to append."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop appending; whoever waits is told that the outcome is unknown."""
        await cancel_tasks([self._task])
        for pending in [*self._under_way, *self._queue]:
            if not pending.done.done():
                pending.done.set_result(False)

    async def fence(self) -> Result[int, Problem]:
        """Raise the epoch on the stream without appending anything."""
        guard = WrittenBy(self._writer, self._epoch, 0)
        return await self._append((), guard)

    def get_delay_s(self, now_s: float) -> float:
        """Return for how long the oldest records have waited."""
        waiting = [*self._under_way[:1], *list(self._queue)[:1]]
        return max((now_s - pending.added_s for pending in waiting), default=0.0)

    async def commit(
        self, records: tuple[KeyedRecord, ...], timeout_s: float | None = None
    ) -> Problem | None:
        """Append records; None means that they and all before are on the log.

        ``APPEND_REFUSED`` and ``LOG_UNAVAILABLE`` mean that they are not and never will
        be, ``APPEND_UNKNOWN`` that they may be or may still come. With a time-out,
        records are refused at once while others have been waiting for long.
        """
        loop = asyncio.get_running_loop()
        pending = _Pending(records, loop.time(), loop.create_future())
        if self.fenced:
            return Problem(Code.FENCED)
        if timeout_s is not None and self.get_delay_s(pending.added_s) > STALLED_S:
            return Problem(Code.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
        ahead = self._split(pending)
        self._queue += [*ahead, pending]
        self._added.set()
        try:
            async with asyncio.timeout(timeout_s):
                kept = await asyncio.shield(pending.done)
        except TimeoutError:
            return self._give_up(pending, may_be_kept=bool(ahead))
        if any(part.refused for part in (*ahead, pending)):
            return Problem(Code.APPEND_REFUSED)
        if kept:
            return None
        return Problem(Code.FENCED if self.fenced else Code.APPEND_UNKNOWN)

    def _split(self, pending: _Pending) -> list[_Pending]:
        """Take off what goes ahead in appends of its own; the rest stays.

        Records beyond what the log takes in one call would be refused for ever.
        """
        parts, size = [[]], 0
        for record in pending.records:
            size += len(record.key) + len(record.value)
            if size > MAX_BATCH_BYTES and parts[-1]:
                parts.append([])
                size = len(record.key) + len(record.value)
            parts[-1].append(record)
        pending.records = tuple(parts.pop())
        loop = asyncio.get_running_loop()
        return [
            _Pending(tuple(part), pending.added_s, loop.create_future())
            for part in parts
        ]

    def _give_up(self, pending: _Pending, *, may_be_kept: bool) -> Problem:
        """Withdraw records; ``may_be_kept`` where a part of them went ahead."""
        withdrawn = not pending.sent and pending in self._queue
        if withdrawn:
            self._queue.remove(pending)
        if withdrawn and not may_be_kept:
            return Problem(Code.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
        return Problem(Code.APPEND_UNKNOWN, retry_after_s=RETRY_AFTER_S)

    async def _run(self) -> None:
        backoff = Backoff(FIRST_BACKOFF_S, LONGEST_BACKOFF_S)
        while not self.fenced:
            await self._added.wait()
            if not self._under_way and not self._take_batch():
                self._added.clear()
                continue
            called_s = asyncio.get_running_loop().time()
            if await self._append_batch():
                backoff.reset()
            else:
                await backoff.wait(called_s)

    def _take_batch(self) -> bool:
        size = 0
        while self._queue:
            size += self._queue[0].size
            if self._under_way and (self._singly or size > MAX_BATCH_BYTES):
                break
            pending = self._queue.popleft()
            pending.sent = True
            self._under_way.append(pending)
        self._singly = max(0, self._singly - 1)
        return bool(self._under_way)

    async def _append_batch(self) -> bool:
        records = tuple(r for p in self._under_way for r in p.records)
        if not records:
            self._settle(True)
            return True
        guard = WrittenBy(self._writer, self._epoch, self._sequence)
        match await self._append(records, guard):
            case Success(_):
                self._sequence += 1
                self._settle(True)
                self._note_failing(False)
                return True
            case Failure(problem) if self._is_over(problem.code):
                self.fenced = True
                self._warn("writer-fenced", problem)
                self._settle(False)
                return True
            case Failure(problem) if problem.code is Code.CONDITION_FAILED:
                # The same batch is refused for ever; a higher epoch takes any sequence.
                self._warn("writer-begins-anew", problem)
                self._epoch += 1
                self._sequence = 1
                return False
            case Failure(problem) if problem.code is Code.APPEND_REFUSED:
                # They would be refused for ever, and hold up all that come after them.
                self._warn("records-refused", problem)
                self._drop_refused()
                return True
            case Failure(problem):
                self._note_failing(True, problem)
                return False

    def _drop_refused(self) -> None:
        """Drop what the log refuses; of several that went together, find out which."""
        if len(self._under_way) == 1:
            self._settle(False, refused=True)
            return
        self._singly = len(self._under_way)
        self._queue.extendleft(reversed(self._under_way))
        self._under_way = []

    def _is_over(self, code: Code) -> bool:
        return code is Code.FENCED or self._is_term and code is Code.CONDITION_FAILED

    def _warn(self, event: str, reason: Problem) -> None:
        log_event(
            _logger,
            event,
            logging.WARNING,
            stream=self._stream,
            epoch=self._epoch,
            records=sum(len(pending.records) for pending in self._under_way),
            reason=reason,
        )

    async def _append(self, records: tuple[KeyedRecord, ...], guard: WrittenBy):
        return await append_in_time(
            self._log, self._stream, records, guard, self._times
        )

    def _settle(self, kept: bool, *, refused: bool = False) -> None:
        settled, self._under_way = self._under_way, []
        if self.fenced:
            settled += self._queue
            self._queue.clear()
        for pending in settled:
            pending.refused = refused
            if not pending.done.done():
                pending.done.set_result(kept)

    def _note_failing(self, failing: bool, reason=None) -> None:
        if failing != self._failing:
            self._failing = failing
            event = "append-failing" if failing else "append-regained"
            level = logging.WARNING if failing else logging.INFO
            waiting = len(self._queue) + len(self._under_way)
            log_event(
                _logger,
                event,
                level,
                stream=self._stream,
                waiting=waiting,
                reason=reason,
            )
