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

__all__ = ["StreamWriter", "get_batch_limit"]

_logger = logging.getLogger(__name__)
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
MAX_BATCH_BYTES = 200_000
"""Size limit of one append, well below the limit of the platform."""
MAX_BATCH_SEND_S = 0.2
"""How long the instance's link may need to send one append. At 5 Mbit/s an append of
200,000 bytes takes 0.32 s, in which calls to workers and renewals of the tenure
wait."""
RETRY_AFTER_S = 1.0
STALLED_S = 0.8
"""Once records have waited longer, new calls with a time-out are refused at once. The
log usually answers in 4 ms, and in 0.3 s when it is slow."""


@dataclass(slots=True)
class _Pending:
    """Records that go into the same append, and the future of their caller.

    ``dropped`` is set if the writer has closed before it sent them.
    """

    records: tuple[KeyedRecord, ...]
    added_s: float
    done: asyncio.Future
    sent: bool = False
    refused: bool = False
    dropped: bool = False


def get_batch_limit(bandwidth_mbps: float) -> int:
    """Return the size limit of one append over a link, in bytes."""
    return min(MAX_BATCH_BYTES, int(bandwidth_mbps * 1e6 / 8 * MAX_BATCH_SEND_S))


class StreamWriter:
    """The append queue of one writer, with at most one batch in flight.

    A batch without an answer is appended again under the same sequence number, so
    that it takes effect once. A fenced writer appends nothing more. If the log rejects
    the sequence number, the writer restarts its sequence under a higher epoch; where
    the epoch is a term (``is_term``), it counts as fenced instead.

    If the readers of the stream use only the newest record of each key
    (``newest_only``), only the last record of a key in a batch is sent. A batch is at
    most ``max_batch_bytes`` long, unless a single record is longer.
    """

    def __init__(
        self,
        log: KeyedLogPort,
        stream: str,
        writer: str,
        epoch: int = 1,
        *,
        is_term: bool = False,
        newest_only: bool = False,
        max_batch_bytes: int = MAX_BATCH_BYTES,
    ):
        self._log = log
        self._stream = stream
        self._writer = writer
        self._epoch = epoch
        self._is_term = is_term
        self._newest_only = newest_only
        self._max_batch_bytes = max_batch_bytes
        self._sequence = 1
        self._queue: deque[_Pending] = deque()
        self._in_flight: list[_Pending] = []
        self._added = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._single_appends = 0
        self._is_failing = False
        self._times = create_answer_times()
        self._is_closed = False
        self.fenced = False

    async def start(self) -> None:
        """Start appending."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop appending; waiting calls return, and later ones are refused."""
        self._is_closed = True
        await cancel_tasks([self._task])
        for pending in [*self._in_flight, *self._queue]:
            # Records that are queued again after a refusal were sent before.
            pending.dropped = not pending.sent
            if not pending.done.done():
                pending.done.set_result(False)

    async def fence(self) -> Result[int, Problem]:
        """Raise the epoch on the stream without appending anything."""
        guard = WrittenBy(self._writer, self._epoch, 0)
        return await self._append((), guard)

    def get_delay_s(self, now_s: float) -> float:
        """Return how long the oldest records have waited, in seconds."""
        waiting = [*self._in_flight[:1], *list(self._queue)[:1]]
        return max((now_s - pending.added_s for pending in waiting), default=0.0)

    async def commit(
        self, records: tuple[KeyedRecord, ...], timeout_s: float | None = None
    ) -> Problem | None:
        """Append records; None means that they and all earlier ones are on the log.

        ``APPEND_REFUSED`` and ``LOG_UNAVAILABLE`` mean that they are not and never will
        be on the log, ``APPEND_UNKNOWN`` that they may be or may still get there. With
        a time-out, records are refused at once if others have waited for ``STALLED_S``.
        A closed writer refuses all.
        """
        loop = asyncio.get_running_loop()
        pending = _Pending(records, loop.time(), loop.create_future())
        if self.fenced:
            return Problem(Code.FENCED)
        if self._is_closed:
            return Problem(Code.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
        if timeout_s is not None and self.get_delay_s(pending.added_s) > STALLED_S:
            return Problem(Code.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
        ahead = self._split(pending)
        self._queue += [*ahead, pending]
        self._added.set()
        try:
            async with asyncio.timeout(timeout_s):
                appended = await asyncio.shield(pending.done)
        except TimeoutError:
            return self._withdraw(pending, may_be_appended=bool(ahead))
        if any(part.refused for part in (*ahead, pending)):
            return Problem(Code.APPEND_REFUSED)
        if appended:
            return None
        if all(part.dropped for part in (*ahead, pending)):
            return Problem(Code.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
        return Problem(Code.FENCED if self.fenced else Code.APPEND_UNKNOWN)

    def _split(self, pending: _Pending) -> list[_Pending]:
        """Split off leading parts into appends of their own; keep the last part.

        The log would always refuse an append that exceeds its size limit. The owner
        may stop between two parts, so each record must be valid without later ones.
        """
        parts, size = [[]], 0
        for record in pending.records:
            size += _get_size(record)
            if size > self._max_batch_bytes and parts[-1]:
                parts.append([])
                size = _get_size(record)
            parts[-1].append(record)
        pending.records = tuple(parts.pop())
        loop = asyncio.get_running_loop()
        return [
            _Pending(tuple(part), pending.added_s, loop.create_future())
            for part in parts
        ]

    def _withdraw(self, pending: _Pending, *, may_be_appended: bool) -> Problem:
        """Withdraw records; ``may_be_appended`` if a part was queued ahead of them."""
        withdrawn = not pending.sent and pending in self._queue
        if withdrawn:
            self._queue.remove(pending)
        if withdrawn and not may_be_appended:
            return Problem(Code.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
        return Problem(Code.APPEND_UNKNOWN, retry_after_s=RETRY_AFTER_S)

    async def _run(self) -> None:
        backoff = Backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S)
        while not self.fenced:
            await self._added.wait()
            if not self._in_flight and not self._take_batch():
                self._added.clear()
                continue
            called_s = asyncio.get_running_loop().time()
            if await self._append_batch():
                backoff.reset()
            else:
                await backoff.wait(called_s)

    def _take_batch(self) -> bool:
        """Move entries that go into one append from the queue; tell whether any did.

        The size counts what is sent: otherwise appends to a slow log would be
        filled with records that newer ones replace.
        """
        sizes: dict[str | int, int] = {}
        total = 0
        while self._queue:
            for record in self._queue[0].records:
                key = record.key if self._newest_only else len(sizes)
                total += _get_size(record) - sizes.get(key, 0)
                sizes[key] = _get_size(record)
            is_full = total > self._max_batch_bytes
            if self._in_flight and (self._single_appends or is_full):
                break
            pending = self._queue.popleft()
            pending.sent = True
            self._in_flight.append(pending)
        self._single_appends = max(0, self._single_appends - 1)
        return bool(self._in_flight)

    async def _append_batch(self) -> bool:
        records = self._list_records()
        if not records:
            self._settle(True)
            return True
        guard = WrittenBy(self._writer, self._epoch, self._sequence)
        match await self._append(records, guard):
            case Success(_):
                self._sequence += 1
                self._settle(True)
                self._update_failing(False)
                return True
            case Failure(problem) if self._ends_writer(problem.code):
                self.fenced = True
                self._warn("writer-fenced", problem)
                self._settle(False)
                return True
            case Failure(problem) if problem.code is Code.CONDITION_FAILED:
                # A retry would always fail; a higher epoch may restart the sequence.
                self._warn("writer-begins-anew", problem)
                self._epoch += 1
                self._sequence = 1
                return False
            case Failure(problem) if problem.code is Code.APPEND_REFUSED:
                # Retries would always fail, and block all later records.
                self._warn("records-refused", problem)
                self._drop_refused()
                return True
            case Failure(problem):
                self._update_failing(True, problem)
                return False

    def _list_records(self) -> tuple[KeyedRecord, ...]:
        """Return the records to send; the same ones each time a batch is sent again."""
        records = [r for pending in self._in_flight for r in pending.records]
        if not self._newest_only:
            return tuple(records)
        newest: dict[str, KeyedRecord] = {}
        for record in records:
            newest.pop(record.key, None)
            newest[record.key] = record
        return tuple(newest.values())

    def _drop_refused(self) -> None:
        """Drop the only entry of a refused batch; queue several again, one a batch."""
        if len(self._in_flight) == 1:
            self._settle(False, refused=True)
            return
        self._single_appends = len(self._in_flight)
        self._queue.extendleft(reversed(self._in_flight))
        self._in_flight = []

    def _ends_writer(self, code: Code) -> bool:
        return code is Code.FENCED or self._is_term and code is Code.CONDITION_FAILED

    def _warn(self, event: str, reason: Problem) -> None:
        log_event(
            _logger,
            event,
            logging.WARNING,
            stream=self._stream,
            epoch=self._epoch,
            records=sum(len(pending.records) for pending in self._in_flight),
            reason=reason,
        )

    async def _append(self, records: tuple[KeyedRecord, ...], guard: WrittenBy):
        return await append_in_time(
            self._log, self._stream, records, guard, self._times
        )

    def _settle(self, appended: bool, *, refused: bool = False) -> None:
        settled, self._in_flight = self._in_flight, []
        if self.fenced:
            settled += self._queue
            self._queue.clear()
        for pending in settled:
            pending.refused = refused
            if not pending.done.done():
                pending.done.set_result(appended)

    def _update_failing(self, failing: bool, reason=None) -> None:
        if failing != self._is_failing:
            self._is_failing = failing
            event = "append-failing" if failing else "append-regained"
            level = logging.WARNING if failing else logging.INFO
            waiting = len(self._queue) + len(self._in_flight)
            log_event(
                _logger,
                event,
                level,
                stream=self._stream,
                waiting=waiting,
                reason=reason,
            )


def _get_size(record: KeyedRecord) -> int:
    return len(record.key) + len(record.value)
