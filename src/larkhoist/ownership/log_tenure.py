"""Elect the instance that schedules, by records on an append-only stream.

The holder of the tenure appends a renewal at short intervals, each on the condition
that the stream still ends where the holder last read it. An instance that sees no new
record for some time appends a claim on the same condition, so that only one of several
claims succeeds. The term is the claim's offset plus 1, a fencing token that is unique.

Records carry the capacity of their writer. An instance that is much stronger than the
holder claims while the holder still renews; the holder continues until it reads that.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from larkhoist.ownership.capacity import (
    FULL_BANDWIDTH_MBPS,
    FULL_CORES,
    InstanceCapacity,
    get_strength,
)

__all__ = [
    "OWNER_KEY",
    "TENURE_STREAM",
    "ClaimReason",
    "Fitness",
    "Handover",
    "TenureRecord",
    "TenureStep",
    "TenureTimes",
    "TenureView",
    "decide_step",
    "get_claim_delay_s",
]

TENURE_STREAM = "tenure"
OWNER_KEY = "owner"
MAX_CLAIM_DELAY_S = 0.4
"""The longest delay of a claim for want of cores, and for want of bandwidth. It equals
``watch_s``, so that stronger instances usually claim first."""
HANDOVER_RATIO = 2.0
"""How many times as strong as the holder an instance must be to replace it. A take-over
interrupts scheduling, so that a small gain is not worth it."""


class TenureRecord(msgspec.Struct, frozen=True):
    """A claim, renewal or release of the tenure.

    ``cores`` and ``bandwidth_mbps`` are the capacity of the holder; 0 means unknown, as
    in records of builds that do not write them.
    """

    holder: str
    term: int
    released: bool = False
    cores: float = 0.0
    bandwidth_mbps: float = 0.0

    @property
    def strength(self) -> float | None:
        """Return the strength of the holder, ``None`` if it is unknown."""
        return get_strength(InstanceCapacity(self.cores, self.bandwidth_mbps))


@dataclass(frozen=True, slots=True)
class TenureTimes:
    """Times of the tenure, in seconds.

    ``watch_s`` is the interval between reads of the stream while no holder renews.
    ``silence_s`` is how long the stream must not grow before a claim; it covers a
    renewal whose answer was lost, the next renewal and one ``watch_s``.
    ``claim_delay_s`` is how much longer this instance waits, so that others can claim
    first, and ``stale_claim_delay_s`` is added while its state may be out of date.
    ``cut_off_renewal_s`` limits how long a holder that cannot reach the log renews
    workers' leases; it exceeds the usual outages of the platform.

    ``handover_after_s`` is how long an instance has seen a weaker holder's term before
    it replaces that holder; it covers a take-over. A random delay of up to
    ``handover_spread_s`` spreads such claims. An instance that loses its term within
    ``handover_loss_s`` of one makes none for ``handover_pause_s``.
    """

    renew_s: float = 0.3
    watch_s: float = 0.4
    silence_s: float = 1.1
    cut_off_renewal_s: float = 8.0
    claim_delay_s: float = 0.0
    stale_claim_delay_s: float = 1.0
    handover_after_s: float = 2.0
    handover_spread_s: float = 0.3
    handover_loss_s: float = 10.0
    handover_pause_s: float = 30.0

    @property
    def first_claim_delay_s(self) -> float:
        """Return how long to wait before a claim on an empty stream.

        Strong instances do not wait. They start sooner and read the stream
        again after ``watch_s``; by then they may have the operators' configuration.
        """
        return self.claim_delay_s and self.watch_s + self.claim_delay_s

    @property
    def released_claim_delay_s(self) -> float:
        """Return how long to wait before a claim on a tenure that was released.

        Strong instances do not wait, but while a holder renews they read the
        stream only once in ``silence_s``. A leaving holder continues meanwhile.
        """
        return self.claim_delay_s and self.silence_s + self.claim_delay_s


class Fitness(Enum):
    """Whether an instance may claim the tenure, or the reason why not."""

    FIT = "fit"
    OLD_CONFIGURATION = "its configuration may be old"
    OLD_STATE = "its state may be old"
    APPENDS_WAIT = "its records wait for the log"
    TAKE_OVER_FAILED = "its last take-over did not end"
    UNLOADED = "it has not read the configuration or the jobs"
    LEAVING = "it leaves"


class TenureStep(Enum):
    """Next action of an instance with regard to the tenure."""

    WATCH = "watch"
    CLAIM = "claim"
    REPLACE = "replace"
    RENEW = "renew"


class ClaimReason(Enum):
    """Why an instance claims the tenure."""

    VACANT = "vacant"
    RELEASED = "released"
    FITTER = "fitter"


@dataclass(slots=True)
class TenureView:
    """The last read state of the stream; ``changed_s`` is when it last grew.

    ``readable_since_s`` is the time since which every read has succeeded, so that an
    outage of the log is not mistaken for a holder that no longer renews.
    ``term_seen_s`` is when the newest term was first read; it is infinite while the
    stream grows by records that cannot be decoded, whose holder is unknown.
    ``inherited``
    tells that the holder, when first read, was an earlier run of this instance, which
    has ended.
    """

    end: int = 0
    newest: TenureRecord | None = None
    changed_s: float = 0.0
    readable_since_s: float = float("inf")
    inherited: bool = False
    term_seen_s: float = float("inf")

    def take(self, end: int, newest: TenureRecord | None, now_s: float) -> None:
        """Apply the result of a read."""
        self.readable_since_s = min(self.readable_since_s, now_s)
        has_grown = end != self.end
        if has_grown:
            self.changed_s = now_s
            self.inherited = False
        self.end = end
        self._note_term(newest, has_grown, now_s)
        if newest is not None:
            self.newest = newest

    def _note_term(
        self, newest: TenureRecord | None, has_grown: bool, now_s: float
    ) -> None:
        if newest is None:
            if has_grown:
                self.term_seen_s = float("inf")
            return
        is_same = self.newest is not None and self.newest.term == newest.term
        if not is_same or self.term_seen_s == float("inf"):
            self.term_seen_s = now_s

    def note_failed_read(self) -> None:
        """Record that the stream could not be read."""
        self.readable_since_s = float("inf")

    @property
    def holder(self) -> str:
        """Return the instance that wrote the newest record, empty if there is none."""
        return self.newest.holder if self.newest is not None else ""

    @property
    def is_read(self) -> bool:
        """Tell whether the last read of the stream succeeded."""
        return self.readable_since_s < float("inf")

    def get_vacant_s(self, now_s: float) -> float:
        """Return the seconds since the stream last grew.

        For an empty stream, these count from when it could be read.
        """
        if self.newest is None:
            return max(0.0, now_s - self.readable_since_s)
        return now_s - self.changed_s


@dataclass(slots=True)
class Handover:
    """The claims of one instance, of ``strength``, on the tenure of a weaker holder.

    ``claimed_s`` is the time of the claim by which the current term was gained, if it
    was such a claim. The pause after a term that was lost soon keeps an instance from
    alternating with the holder for a fault that its capacity does not show.
    """

    strength: float | None
    claimed_s: float = float("-inf")
    paused_until_s: float = float("-inf")

    def note_gain(self, reason: ClaimReason, claimed_s: float) -> None:
        """Record a term that was gained by a claim at ``claimed_s``."""
        is_replacement = reason is ClaimReason.FITTER
        self.claimed_s = claimed_s if is_replacement else float("-inf")

    def note_loss(
        self, times: TenureTimes, now_s: float, *, take_over_failed: bool
    ) -> None:
        """Record the end of the current term.

        A failed take-over counts however long it took, since its time-out is longer
        after each failure.
        """
        is_early = now_s - self.claimed_s < times.handover_loss_s
        if is_early or (take_over_failed and self.claimed_s > float("-inf")):
            self.paused_until_s = now_s + times.handover_pause_s
        self.claimed_s = float("-inf")


def decide_step(
    view: TenureView,
    term: int,
    fitness: Fitness,
    times: TenureTimes,
    now_s: float,
    handover: Handover | None = None,
) -> TenureStep:
    """Return the next action; ``term`` is 0 if this instance is not the holder.

    Without ``handover`` the instance never replaces a holder that renews.
    """
    if term:
        return TenureStep.RENEW
    match fitness:
        case Fitness.UNLOADED | Fitness.LEAVING:
            return TenureStep.WATCH
        case Fitness.FIT:
            is_due = view.inherited or _is_due(view, times, now_s)
        case _:
            # Out-of-date state delays a claim but does not forbid it: a take-over reads
            # jobs and workers anyway, and there may be no instance that is up to date.
            is_due = _is_due(view, times, now_s - times.stale_claim_delay_s)
    if is_due:
        return TenureStep.CLAIM
    if handover is None or fitness is not Fitness.FIT:
        return TenureStep.WATCH
    may_replace = _may_replace(view, handover, times, now_s)
    return TenureStep.REPLACE if may_replace else TenureStep.WATCH


def _may_replace(
    view: TenureView, handover: Handover, times: TenureTimes, now_s: float
) -> bool:
    """Tell whether an instance is so much stronger that it replaces the holder."""
    newest = view.newest
    if newest is None or newest.released or not view.is_read:
        return False
    if handover.strength is None or newest.strength is None:
        return False
    return (
        handover.strength >= HANDOVER_RATIO * newest.strength
        and now_s >= handover.paused_until_s
        and now_s - view.term_seen_s >= times.handover_after_s
    )


def _is_due(view: TenureView, times: TenureTimes, now_s: float) -> bool:
    """Tell whether the tenure has been vacant long enough for a claim."""
    if view.newest is None:
        return now_s - view.readable_since_s >= times.first_claim_delay_s
    if view.newest.released:
        return now_s - view.changed_s >= times.released_claim_delay_s
    unchanged_since_s = max(view.changed_s, view.readable_since_s)
    return now_s - unchanged_since_s > times.silence_s + times.claim_delay_s


def get_claim_delay_s(capacity: InstanceCapacity) -> float:
    """Return how long an instance of a known capacity delays a claim.

    The holder does most of the work and sends most of the traffic, so that stronger
    instances should claim first; there is no delay with a whole core and a fast link.
    """
    cores_delay_s = _get_delay_s(capacity.cores / FULL_CORES)
    return cores_delay_s + _get_delay_s(capacity.bandwidth_mbps / FULL_BANDWIDTH_MBPS)


def _get_delay_s(share: float) -> float:
    return MAX_CLAIM_DELAY_S * max(0.0, min(1.0, 1 / share - 1))
