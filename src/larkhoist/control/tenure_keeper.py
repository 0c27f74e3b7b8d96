"""Claim, renew and give up the tenure of the scheduler."""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec
from returns.result import Failure, Success

from larkhoist.codes import Code
from larkhoist.control.answer_times import append_in_time, create_answer_times
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.ownership.log_tenure import (
    OWNER_KEY,
    TENURE_STREAM,
    Fitness,
    TenureRecord,
    TenureStep,
    TenureTimes,
    TenureView,
    decide_step,
)
from larkhoist.ports.keyed_log import AtEnd, KeyedLogPort, KeyedRecord, StoredRecord
from larkhoist.problem import Problem

__all__ = ["TenureKeeper"]

_logger = logging.getLogger(__name__)
RELEASE_TIMEOUT_S = 0.5
WATCH_SLACK_S = 0.02
"""Timers fire a little late; a look just before the time would have to be repeated."""
INHERIT_S = 0.05
"""How often a restarted holder looks whether it may claim already."""
OFFER_WATCH_S = 0.05
"""How often an instance that has offered the tenure looks for a claim."""
RETRY_OFFER_S = 0.2
"""After this time an offer that the log did not keep is made again."""
RETRY_RENEWAL_S = 0.1
"""Short, since others claim once they have seen no renewal for a second."""
HELD_BACK_S = 3.0
"""For so long after a take-over that did not end others come first; they look at what
a holder renews once in 1.1 s."""
VACANT_S = 2.5
"""After so long without a holder, and each time it has passed again, an instance says
why it does not claim; usually others have claimed by then."""


class TenureKeeper:
    """Own this instance's part in the tenure; ``on_change`` is told the term."""

    def __init__(
        self,
        log: KeyedLogPort,
        incarnation: str,
        times: TenureTimes,
        assess: Callable[[], Fitness],
        on_change: Callable[[int], None],
    ):
        self._log = log
        self._incarnation = incarnation
        self._times = times
        self._assess = assess
        self._on_change = on_change
        self._view = TenureView()
        self._loaded = False
        self._unread = False
        self._vacancy_noted_s = 0.0
        self._hand_back_reason = ""
        self._ended_term = 0
        self._held_back_until_s = float("-inf")
        self._answer_times = create_answer_times()
        self._first_pause_share = random.random()
        self._task: asyncio.Task | None = None
        self.term = 0
        self.token = 0
        """Fencing token: increases with each renewal and stays below any later term."""
        self.confirmed_s = float("-inf")

    async def start(self) -> None:
        """Begin to watch the tenure."""
        self._task = asyncio.create_task(self._run())

    async def offer(self, longest_s: float) -> None:
        """Offer the tenure, and hold it until another instance has claimed it.

        What the holder decides goes on: with a release first, nothing started for 0.84
        s until another had claimed it and taken over, so 0.33 s (one restart of an
        owner among 36 instances, played each way). Returns after ``longest_s`` at the
        latest.
        """
        await cancel_tasks([self._task])
        if not self.term:
            return
        began_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(longest_s):
                while self.term:
                    # The log may be away, or a renewal under way have moved it on.
                    if not self._is_offered:
                        await self._release()
                    offered = self._is_offered
                    await asyncio.sleep(OFFER_WATCH_S if offered else RETRY_OFFER_S)
                    await self._watch()
        except TimeoutError:
            pass
        took_s = asyncio.get_running_loop().time() - began_s
        log_event(
            _logger,
            "tenure-offered",
            term=self.term,
            claimed=not self.term,
            took_s=round(took_s, 3),
        )

    async def close(self) -> None:
        """Give the tenure up, so that another instance need not wait."""
        await cancel_tasks([self._task])
        if self.term and not self._is_offered:
            await self._release()
        self.term = 0

    @property
    def _is_offered(self) -> bool:
        """Tell whether the log is known to hold the release of the tenure."""
        newest = self._view.newest
        return newest is not None and newest.released

    async def _release(self) -> None:
        record = TenureRecord(self._incarnation, self.term, released=True)
        asked_s = asyncio.get_running_loop().time()
        result = "no answer"
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                result = await self._append(record)
        except TimeoutError:
            pass
        match result:
            case Success(end):
                self._view.take(end, record, asked_s)
        log_event(_logger, "tenure-released", term=self.term, result=result)

    def give_up(self, reason: str) -> None:
        """Stop holding at once, without a record: a newer holder was met."""
        if self.term:
            self._lose(reason)

    def hand_back(self, reason: str) -> None:
        """Release the tenure at the next renewal: another may do better."""
        if self.term:
            self._hand_back_reason = reason

    def is_renewed(self, now_s: float) -> bool:
        """Tell whether the log has kept a renewal of late."""
        return self.term > 0 and now_s - self.confirmed_s < self._times.silence_s

    def may_renew_leases(self, now_s: float) -> bool:
        """Tell whether workers' leases may be renewed in this tenure."""
        return self.term > 0 and now_s - self.confirmed_s < self._times.predecessor_s

    async def _run(self) -> None:
        await self._watch()
        while True:
            now_s = asyncio.get_running_loop().time()
            fitness = self._get_fitness(now_s)
            step = decide_step(self._view, self.term, fitness, self._times, now_s)
            self._note_vacancy(fitness, now_s)
            match step:
                case TenureStep.RENEW if self._hand_back_reason:
                    self._held_back_until_s = now_s + HELD_BACK_S
                    await self._release()
                    self._lose(self._hand_back_reason)
                case TenureStep.RENEW:
                    renewed = await self._renew()
                    await self._wait_to_renew(renewed, now_s)
                case TenureStep.CLAIM:
                    await self._claim()
                case TenureStep.WATCH:
                    # The look comes last, so that no claim is tried by an old one.
                    await asyncio.sleep(self._get_watch_pause_s())
                    await self._watch()

    async def _wait_to_renew(self, renewed: bool, asked_s: float) -> None:
        """Wait until the next renewal, after one that was asked for at ``asked_s``.

        From call to call, not from an answer on: others count the time between records.
        """
        if not renewed:
            await asyncio.sleep(RETRY_RENEWAL_S)
            return
        left_s = asked_s + self._times.renew_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left_s))

    def _get_fitness(self, now_s: float) -> Fitness:
        if not self._loaded:
            return Fitness.UNLOADED
        fitness = self._assess()
        if fitness is Fitness.FIT and now_s < self._held_back_until_s:
            return Fitness.TAKE_OVER_FAILED
        return fitness

    def get_vacant_s(self, now_s: float) -> float:
        """Return for how long nobody was seen to hold the tenure, in seconds."""
        if self.term or not self._loaded:
            return 0.0
        return self._view.get_vacant_s(now_s)

    def _note_vacancy(self, fitness: Fitness, now_s: float) -> None:
        """Log why this instance does not claim a tenure that nobody holds for long."""
        vacant_s = self.get_vacant_s(now_s)
        if vacant_s < VACANT_S:
            self._vacancy_noted_s = 0.0
            return
        if vacant_s < self._vacancy_noted_s + VACANT_S:
            return
        self._vacancy_noted_s = vacant_s
        newest = self._view.newest
        log_event(
            _logger,
            "tenure-vacant",
            logging.WARNING,
            vacant_s=round(vacant_s, 2),
            previous=self._view.holder,
            released=bool(newest and newest.released),
            read=self._view.is_read,
            fitness=fitness.value,
        )

    def _get_watch_pause_s(self) -> float:
        """Return when to look at the stream again.

        While the holder renews, one look in the time after which its silence counts
        is enough: a second one without a record in between is the proof. The first
        pause is shorter by chance, so that instances that started together look at
        different times and one of them soon after the last renewal.
        """
        if self._view.inherited:
            return INHERIT_S
        newest = self._view.newest
        is_read = self._loaded and self._view.is_read
        if not is_read or newest is None or newest.released:
            return self._times.watch_s
        pause_s = self._times.silence_s + self._times.patience_s + WATCH_SLACK_S
        share, self._first_pause_share = self._first_pause_share, 1.0
        return share * pause_s

    async def _claim(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        offset = self._view.end
        previous = self._view.holder
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

    async def _renew(self) -> bool:
        asked_s = asyncio.get_running_loop().time()
        record = TenureRecord(self._incarnation, self.term)
        match await self._append(record):
            case Success(end):
                self._view.take(end, record, asked_s)
                self.confirmed_s = asked_s
                self.token = end
                return True
            case Failure(problem):
                log_event(
                    _logger,
                    "renewal-failed",
                    logging.WARNING,
                    term=self.term,
                    age_s=round(asked_s - self.confirmed_s, 2),
                    reason=problem,
                )
        # The renewal may have been kept without an answer and moved the end on.
        await self._watch()
        return False

    async def _append(self, record: TenureRecord):
        kept = KeyedRecord(OWNER_KEY, msgspec.msgpack.encode(record))
        guard = AtEnd(self._view.end)
        return await append_in_time(
            self._log, TENURE_STREAM, (kept,), guard, self._answer_times
        )

    async def _watch(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        if not self._loaded:
            result = await self._log.read_newest(TENURE_STREAM)
        else:
            result = await self._log.read(TENURE_STREAM, self._view.end, 0.0)
        match result:
            case Success(page):
                is_first = not self._loaded and self._view.newest is None
                self._loaded = True
                self._unread = False
                self._take_records(page.end, page.records, asked_s)
                if is_first:
                    self._view.inherited = self._is_predecessor()
            case Failure(problem) if self._loaded and problem.code is Code.HISTORY_GONE:
                # The stream answers, and its newest record is still there.
                self._loaded = False
                await self._watch()
            case Failure(problem):
                self._view.note_failed_read()
                self._note_unread(problem)

    def _note_unread(self, problem: Problem) -> None:
        """Log the first failed read of a row; reads go on."""
        if not self._unread:
            self._unread = True
            log_event(
                _logger,
                "tenure-unread",
                logging.WARNING,
                end=self._view.end,
                reason=problem,
            )

    def _take_records(
        self, end: int, records: tuple[StoredRecord, ...], asked_s: float
    ) -> None:
        newest = _find_newest(records)
        if newest is not None and newest.holder != self._view.holder:
            # Who looks alone claims and is gone: those that look together would stay.
            self._first_pause_share = random.random()
        if records:
            end = max(end, records[-1].offset + 1)
        self._view.take(end, newest, asked_s)
        if newest is None or newest.released:
            return
        if newest.holder == self._incarnation:
            # Of a term that has ended, the log holds what its owner wrote: the writers
            # of another owner would begin at sequences that it has answered already.
            if not self.term and newest.term > self._ended_term:
                self._gain(newest.term, asked_s, "own claim without an answer")
            elif self.term:
                # Kept without an answer, and nobody had claimed when this was asked.
                self.confirmed_s = max(self.confirmed_s, asked_s)
        elif self.term:
            self._lose(f"{newest.holder} holds term {newest.term}")

    def _is_predecessor(self) -> bool:
        """Tell whether the holder is an earlier incarnation of this instance."""
        newest = self._view.newest
        if newest is None or newest.released or newest.holder == self._incarnation:
            return False
        return _get_instance(newest.holder) == _get_instance(self._incarnation)

    def _gain(self, term: int, asked_s: float, previous: str) -> None:
        self.term = term
        self.token = term
        self.confirmed_s = asked_s
        log_event(_logger, "tenure-gained", term=term, previous=previous)
        self._on_change(term)

    def _lose(self, reason: str) -> None:
        log_event(
            _logger, "tenure-lost", logging.WARNING, term=self.term, reason=reason
        )
        self._ended_term = self.term
        self.term = 0
        self._hand_back_reason = ""
        self._on_change(0)


def _find_newest(records: tuple[StoredRecord, ...]) -> TenureRecord | None:
    """Return the newest record that can be read, None where there is none."""
    for record in reversed(records):
        try:
            return msgspec.msgpack.decode(record.value, type=TenureRecord)
        except msgspec.DecodeError as error:
            log_event(
                _logger,
                "record-unreadable",
                logging.WARNING,
                stream=TENURE_STREAM,
                offset=record.offset,
                reason=error,
            )
    return None


def _get_instance(incarnation: str) -> str:
    return incarnation.rsplit("/", 1)[0]
