"""Claim, renew and give up the tenure of the scheduler."""

import asyncio
import logging
from collections.abc import Callable

import msgspec
from returns.result import Failure, Success

from larkhoist.codes import Code
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.ownership.log_tenure import (
    OWNER_KEY,
    TENURE_STREAM,
    TenureRecord,
    TenureStep,
    TenureTimes,
    TenureView,
    decide_step,
)
from larkhoist.ports.keyed_log import AtEnd, KeyedLogPort, KeyedRecord, StoredRecord

__all__ = ["TenureKeeper"]

_logger = logging.getLogger(__name__)
RELEASE_TIMEOUT_S = 0.5


class TenureKeeper:
    """Own this instance's part in the tenure; ``on_change`` is told the term."""

    def __init__(
        self,
        log: KeyedLogPort,
        incarnation: str,
        times: TenureTimes,
        is_eligible: Callable[[], bool],
        on_change: Callable[[int], None],
    ):
        self._log = log
        self._incarnation = incarnation
        self._times = times
        self._is_eligible = is_eligible
        self._on_change = on_change
        self._view = TenureView()
        self._loaded = False
        self._task: asyncio.Task | None = None
        self.term = 0
        self.confirmed_s = float("-inf")

    async def start(self) -> None:
        """Begin to watch the tenure."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Give the tenure up, so that another instance need not wait."""
        await cancel_tasks([self._task])
        if not self.term:
            return
        term, self.term = self.term, 0
        record = TenureRecord(self._incarnation, term, released=True)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                result = await self._append(record)
        except TimeoutError:
            result = "no answer"
        log_event(_logger, "tenure-released", term=term, result=result)

    def give_up(self, reason: str) -> None:
        """Stop holding at once, without a record: a newer holder was met."""
        if self.term:
            self._lose(reason)

    def may_renew_leases(self, now_s: float) -> bool:
        """Tell whether workers' leases may be renewed in this tenure."""
        return self.term > 0 and now_s - self.confirmed_s < self._times.predecessor_s

    async def _run(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            eligible = self._loaded and self._is_eligible()
            step = decide_step(self._view, self.term, eligible, self._times, now_s)
            match step:
                case TenureStep.RENEW:
                    await self._renew()
                    await asyncio.sleep(self._times.renew_s)
                case TenureStep.CLAIM:
                    await self._claim()
                case TenureStep.WATCH:
                    await self._watch()
                    await asyncio.sleep(self._times.watch_s)

    async def _claim(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        offset = self._view.end
        previous = self._view.newest.holder if self._view.newest else ""
        # The offset of the claim is the term; 1 is added so that it is never 0.
        record = TenureRecord(self._incarnation, offset + 1)
        match await self._append(record):
            case Success(end):
                self._view.take(end, record, asked_s)
                self._gain(record.term, asked_s, previous)
            case Failure(problem):
                log_event(_logger, "claim-failed", end=offset, reason=problem)
                # A claim without an answer may have won: the next read tells.
                await asyncio.sleep(self._times.renew_s)
                await self._watch()

    async def _renew(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        record = TenureRecord(self._incarnation, self.term)
        match await self._append(record):
            case Success(end):
                self._view.take(end, record, asked_s)
                self.confirmed_s = asked_s
            case Failure(problem) if problem.code is Code.CONDITION_FAILED:
                # Our own renewal without an answer may have moved the end on.
                await self._watch()
            case Failure(problem):
                log_event(
                    _logger,
                    "renewal-failed",
                    logging.WARNING,
                    term=self.term,
                    age_s=round(asked_s - self.confirmed_s, 2),
                    reason=problem,
                )

    async def _append(self, record: TenureRecord):
        kept = KeyedRecord(OWNER_KEY, msgspec.msgpack.encode(record))
        guard = AtEnd(self._view.end)
        return await self._log.append(TENURE_STREAM, (kept,), guard)

    async def _watch(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        if not self._loaded:
            result = await self._log.read_newest(TENURE_STREAM)
        else:
            result = await self._log.read(TENURE_STREAM, self._view.end, 0.0)
        match result:
            case Success(page):
                self._loaded = True
                self._take_records(page.end, page.records, asked_s)
            case Failure(problem):
                self._loaded &= problem.code is not Code.HISTORY_GONE
                self._view.note_failed_read()

    def _take_records(
        self, end: int, records: tuple[StoredRecord, ...], asked_s: float
    ) -> None:
        newest = _decode(records[-1]) if records else None
        if records:
            end = max(end, records[-1].offset + 1)
        self._view.take(end, newest, asked_s)
        if newest is None or newest.released:
            return
        if newest.holder == self._incarnation:
            if not self.term:
                self._gain(newest.term, asked_s, "own claim without an answer")
        elif self.term:
            self._lose(f"{newest.holder} holds term {newest.term}")

    def _gain(self, term: int, asked_s: float, previous: str) -> None:
        self.term = term
        self.confirmed_s = asked_s
        log_event(_logger, "tenure-gained", term=term, previous=previous)
        self._on_change(term)

    def _lose(self, reason: str) -> None:
        log_event(
            _logger, "tenure-lost", logging.WARNING, term=self.term, reason=reason
        )
        self.term = 0
        self._on_change(0)


def _decode(record: StoredRecord) -> TenureRecord:
    return msgspec.msgpack.decode(record.value, type=TenureRecord)
