"""Claim, renew and release the tenure, the leadership of the scheduler."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from larkhoist.codes import Code
from larkhoist.control.answer_times import append_in_time, create_answer_times
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.ownership.capacity import InstanceCapacity, get_strength
from larkhoist.ownership.log_tenure import (
    OWNER_KEY,
    TENURE_STREAM,
    ClaimReason,
    Fitness,
    Handover,
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
"""Added to the pause, since a read just before the time is up must be repeated."""
INHERITED_POLL_S = 0.05
"""How often a restarted holder checks whether it may claim the tenure."""
OFFER_POLL_S = 0.05
"""How often an instance that has offered the tenure checks for a claim."""
RETRY_OFFER_S = 0.2
"""Pause before an offer that did not reach the log is repeated."""
RETRY_RENEWAL_S = 0.1
"""Short, since others claim after about 1 s without a renewal."""
CLAIM_HOLDOFF_S = 3.0
"""How long an instance does not count as fit to claim after its take-over has failed,
so that others come first; these read the stream once in 1.1 s while it is renewed."""
VACANCY_LOG_INTERVAL_S = 2.5
"""Without a holder, an instance logs why it does not claim once in this time; usually
another instance has claimed before the first line."""


@dataclass(frozen=True, slots=True)
class _Claim:
    """A claim of this instance, sent at ``called_s``, and the holder before it."""

    reason: ClaimReason
    called_s: float
    previous: str = ""
    previous_strength: float | None = None


class TenureKeeper:
    """The part of one instance in the tenure.

    ``on_change`` is called with the term when the tenure is gained, with 0 when lost.
    ``capacity`` is written in each claim and renewal. With ``hands_over`` the instance
    replaces a holder that is much weaker.
    """

    def __init__(
        self,
        log: KeyedLogPort,
        incarnation: str,
        times: TenureTimes,
        assess: Callable[[], Fitness],
        on_change: Callable[[int], None],
        capacity: InstanceCapacity,
        *,
        hands_over: bool,
    ):
        self._log = log
        self._incarnation = incarnation
        self._times = times
        self._assess = assess
        self._on_change = on_change
        self._capacity = capacity
        self._handover = Handover(get_strength(capacity))
        self._hands_over = hands_over
        self._last_claim = _Claim(ClaimReason.VACANT, float("-inf"))
        self._view = TenureView()
        self._loaded = False
        self._read_failing = False
        self._vacancy_logged_s = 0.0
        self._release_reason = ""
        self._ended_term = 0
        self._holdoff_until_s = float("-inf")
        self._answer_times = create_answer_times()
        self._first_pause_share = random.random()
        self._task: asyncio.Task | None = None
        self.term = 0
        self.token = 0
        """Fencing token; increases with each renewal and is lower than later terms."""
        self.confirmed_s = float("-inf")

    async def start(self) -> None:
        """Start watching the tenure."""
        self._task = asyncio.create_task(self._run())

    async def offer(self, longest_s: float) -> None:
        """Offer the tenure, and hold it until another instance has claimed it.

        Scheduling continues meanwhile, which shortens the time without starts: when
        one owner among 36 instances restarts, it is 0.33 s, and 0.84 s where the
        tenure is released first. Returns after ``longest_s`` seconds at the latest.
        """
        await cancel_tasks([self._task])
        if not self.term:
            return
        began_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(longest_s):
                while self.term:
                    # The append fails if the log is unavailable or a renewal in flight
                    # has moved the end of the stream.
                    if not self._is_offered:
                        await self._release()
                    offered = self._is_offered
                    await asyncio.sleep(OFFER_POLL_S if offered else RETRY_OFFER_S)
                    await self._read_tenure()
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
        """Release the tenure, so that another instance can claim it without delay."""
        await cancel_tasks([self._task])
        if self.term and not self._is_offered:
            await self._release()
        self.term = 0

    @property
    def _is_offered(self) -> bool:
        """Tell whether the release of the tenure is known to be on the log."""
        newest = self._view.newest
        return newest is not None and newest.released

    async def _release(self) -> None:
        record = self._create_record(self.term, released=True)
        called_s = asyncio.get_running_loop().time()
        result = "no answer"
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                result = await self._append(record)
        except TimeoutError:
            pass
        match result:
            case Success(end):
                self._view.take(end, record, called_s)
        log_event(_logger, "tenure-released", term=self.term, result=result)

    def give_up(self, reason: str) -> None:
        """Stop holding the tenure at once, without writing a release to the log."""
        if self.term:
            self._lose(reason)

    def request_release(self, reason: str) -> None:
        """Release the tenure when its next renewal is due; others can claim it then."""
        if self.term:
            self._release_reason = reason

    def is_renewed(self, now_s: float) -> bool:
        """Tell whether the log has accepted a renewal within ``silence_s``."""
        return self.term > 0 and now_s - self.confirmed_s < self._times.silence_s

    def may_renew_leases(self, now_s: float) -> bool:
        """Tell whether the last renewal is recent enough to renew workers' leases."""
        return (
            self.term > 0 and now_s - self.confirmed_s < self._times.cut_off_renewal_s
        )

    async def _run(self) -> None:
        await self._read_tenure()
        while True:
            now_s = asyncio.get_running_loop().time()
            fitness = self._get_fitness(now_s)
            self._log_vacancy(fitness, now_s)
            match self._decide_step(fitness, now_s):
                case TenureStep.RENEW if self._release_reason:
                    self._holdoff_until_s = now_s + CLAIM_HOLDOFF_S
                    await self._release()
                    self._lose(self._release_reason, take_over_failed=True)
                case TenureStep.RENEW:
                    renewed = await self._renew()
                    await self._wait_to_renew(renewed, now_s)
                case TenureStep.CLAIM:
                    await self._claim(self._get_vacancy_reason())
                case TenureStep.REPLACE:
                    await self._replace_holder()
                case TenureStep.WATCH:
                    # Read after the pause, so that a claim is based on a fresh read.
                    await asyncio.sleep(self._get_watch_pause_s(now_s))
                    await self._read_tenure()

    def _decide_step(self, fitness: Fitness, now_s: float) -> TenureStep:
        handover = self._handover if self._hands_over else None
        return decide_step(self._view, self.term, fitness, self._times, now_s, handover)

    async def _replace_holder(self) -> None:
        """Claim the tenure of a holder that renews, if it is still the weaker one.

        The claim follows a read at once, since each renewal moves the stream's end.
        """
        await asyncio.sleep(random.uniform(0.0, self._times.handover_spread_s))
        await self._read_tenure()
        now_s = asyncio.get_running_loop().time()
        step = self._decide_step(self._get_fitness(now_s), now_s)
        if step is TenureStep.REPLACE:
            await self._claim(ClaimReason.FITTER)

    def _get_vacancy_reason(self) -> ClaimReason:
        newest = self._view.newest
        is_released = newest is not None and newest.released
        return ClaimReason.RELEASED if is_released else ClaimReason.VACANT

    async def _wait_to_renew(self, renewed: bool, called_s: float) -> None:
        """Wait until the next renewal, after one that was sent at ``called_s``.

        The interval is counted from call to call rather than from the answer, since
        other instances check the time between records.
        """
        if not renewed:
            await asyncio.sleep(RETRY_RENEWAL_S)
            return
        left_s = called_s + self._times.renew_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left_s))

    def _get_fitness(self, now_s: float) -> Fitness:
        if not self._loaded:
            return Fitness.UNLOADED
        fitness = self._assess()
        if fitness is Fitness.FIT and now_s < self._holdoff_until_s:
            return Fitness.TAKE_OVER_FAILED
        return fitness

    def get_vacant_s(self, now_s: float) -> float:
        """Return the time since a holder was last seen, in seconds."""
        if self.term or not self._loaded:
            return 0.0
        return self._view.get_vacant_s(now_s)

    def _log_vacancy(self, fitness: Fitness, now_s: float) -> None:
        """Log why this instance does not claim a tenure that has long been vacant."""
        vacant_s = self.get_vacant_s(now_s)
        if vacant_s < VACANCY_LOG_INTERVAL_S:
            self._vacancy_logged_s = 0.0
            return
        if vacant_s < self._vacancy_logged_s + VACANCY_LOG_INTERVAL_S:
            return
        self._vacancy_logged_s = vacant_s
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

    def _get_watch_pause_s(self, now_s: float) -> float:
        """Return the pause before the next read of the stream, in seconds.

        While the holder renews, one read per time-out of the holder is enough: two
        reads without a new record between them show that it has stopped. The first
        pause is a random share of that, so that instances that started together read
        at different times, and one of them soon after the last renewal.
        """
        if self._view.inherited:
            return INHERITED_POLL_S
        newest = self._view.newest
        is_read = self._loaded and self._view.is_read
        if is_read and newest is not None and newest.released:
            return self._get_released_pause_s(now_s)
        if not is_read or newest is None:
            return self._times.watch_s
        pause_s = self._times.silence_s + self._times.claim_delay_s + WATCH_SLACK_S
        share, self._first_pause_share = self._first_pause_share, 1.0
        return share * pause_s

    def _get_released_pause_s(self, now_s: float) -> float:
        """Return the pause before the next read of a stream that ends in a release.

        A claim that is due within ``watch_s`` does not wait for the whole of it, since
        a leaving holder continues for a limited time.
        """
        due_s = self._view.changed_s + self._times.released_claim_delay_s
        left_s = due_s - now_s
        return left_s if 0.0 < left_s < self._times.watch_s else self._times.watch_s

    def _create_record(self, term: int, *, released: bool = False) -> TenureRecord:
        return TenureRecord(
            self._incarnation,
            term,
            released,
            self._capacity.cores,
            self._capacity.bandwidth_mbps,
        )

    async def _claim(self, reason: ClaimReason) -> None:
        called_s = asyncio.get_running_loop().time()
        offset = self._view.end
        newest = self._view.newest
        self._last_claim = _Claim(
            reason,
            called_s,
            self._view.holder,
            newest.strength if newest is not None else None,
        )
        # The offset of the claim is the term; 1 is added so that it is never 0.
        record = self._create_record(offset + 1)
        match await self._append(record):
            case Success(end):
                self._view.take(end, record, called_s)
                self._gain(record.term, called_s, answered=True)
            case Failure(problem):
                log_event(
                    _logger,
                    "claim-failed",
                    end=offset,
                    claimed_as=reason.value,
                    reason=problem,
                )
                # A claim without an answer may have succeeded: the next read shows it.
                await asyncio.sleep(self._times.renew_s)
                await self._read_tenure()

    async def _renew(self) -> bool:
        called_s = asyncio.get_running_loop().time()
        record = self._create_record(self.term)
        match await self._append(record):
            case Success(end):
                self._view.take(end, record, called_s)
                self.confirmed_s = called_s
                self.token = end
                return True
            case Failure(problem):
                log_event(
                    _logger,
                    "renewal-failed",
                    logging.WARNING,
                    term=self.term,
                    age_s=round(called_s - self.confirmed_s, 2),
                    reason=problem,
                )
        # The renewal may have been appended although its answer was lost.
        await self._read_tenure()
        return False

    async def _append(self, record: TenureRecord):
        kept = KeyedRecord(OWNER_KEY, msgspec.msgpack.encode(record))
        guard = AtEnd(self._view.end)
        return await append_in_time(
            self._log, TENURE_STREAM, (kept,), guard, self._answer_times
        )

    async def _read_tenure(self) -> None:
        called_s = asyncio.get_running_loop().time()
        if not self._loaded:
            result = await self._log.read_newest(TENURE_STREAM)
        else:
            result = await self._log.read(TENURE_STREAM, self._view.end, 0.0)
        match result:
            case Success(page):
                is_first = not self._loaded and self._view.newest is None
                self._loaded = True
                self._read_failing = False
                self._apply_records(page.end, page.records, called_s)
                if is_first:
                    self._view.inherited = self._is_predecessor()
            case Failure(problem) if self._loaded and problem.code is Code.HISTORY_GONE:
                # Not a failed read: the log answers, and still has the newest record.
                self._loaded = False
                await self._read_tenure()
            case Failure(problem):
                self._view.note_failed_read()
                self._log_failed_read(problem)

    def _log_failed_read(self, problem: Problem) -> None:
        """Log the first of several failed reads in a row."""
        if not self._read_failing:
            self._read_failing = True
            log_event(
                _logger,
                "tenure-unread",
                logging.WARNING,
                end=self._view.end,
                reason=problem,
            )

    def _apply_records(
        self, end: int, records: tuple[StoredRecord, ...], called_s: float
    ) -> None:
        newest = _find_newest(records)
        if newest is not None and newest.holder != self._view.holder:
            # The instances that read at other times than the rest claim first. Without
            # a new random share, only those that read at the same time would be left.
            self._first_pause_share = random.random()
        if records:
            end = max(end, records[-1].offset + 1)
        self._view.take(end, newest, called_s)
        if newest is None or newest.released:
            return
        if newest.holder == self._incarnation:
            # An ended term is not resumed: the writers of its new owner would reuse
            # sequence numbers that the log has already accepted from the former one.
            if not self.term and newest.term > self._ended_term:
                self._gain(newest.term, called_s, answered=False)
            elif self.term:
                # A renewal whose answer was lost; no other instance had claimed when
                # this read was sent.
                self.confirmed_s = max(self.confirmed_s, called_s)
        elif self.term:
            self._lose(f"{newest.holder} holds term {newest.term}")

    def _is_predecessor(self) -> bool:
        """Tell whether the holder is an earlier incarnation of this instance."""
        newest = self._view.newest
        if newest is None or newest.released or newest.holder == self._incarnation:
            return False
        return _get_instance(newest.holder) == _get_instance(self._incarnation)

    def _gain(self, term: int, called_s: float, *, answered: bool) -> None:
        """Hold the term of the last claim, whose answer may have been lost."""
        claim = self._last_claim
        self.term = term
        self.token = term
        self.confirmed_s = called_s
        self._handover.note_gain(claim.reason, claim.called_s)
        log_event(
            _logger,
            "tenure-gained",
            term=term,
            reason=claim.reason.value,
            previous=claim.previous,
            strength=self._handover.strength,
            previous_strength=claim.previous_strength,
            answered=answered,
        )
        self._on_change(term)

    def _lose(self, reason: str, *, take_over_failed: bool = False) -> None:
        log_event(
            _logger, "tenure-lost", logging.WARNING, term=self.term, reason=reason
        )
        now_s = asyncio.get_running_loop().time()
        self._handover.note_loss(self._times, now_s, take_over_failed=take_over_failed)
        self._ended_term = self.term
        self.term = 0
        self._release_reason = ""
        self._on_change(0)


def _find_newest(records: tuple[StoredRecord, ...]) -> TenureRecord | None:
    """Return the newest record that can be decoded, None if there is none."""
    for record in reversed(records):
        try:
            return msgspec.msgpack.decode(record.value, type=TenureRecord)
        except (msgspec.DecodeError, RecursionError) as error:
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
