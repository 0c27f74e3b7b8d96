"""Elect the instance that schedules, by records on an append-only stream.

The holder of the tenure appends a renewal at short intervals, each on the condition
that the stream still ends where the holder last read it. An instance that sees no new
record for some time appends a claim on the same condition, so that only one of several
claims succeeds. The term is the claim's offset plus 1, a fencing token that is unique.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

__all__ = [
    "OWNER_KEY",
    "TENURE_STREAM",
    "Fitness",
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
"""The delay of a claim by an instance with half a core or less. It equals ``watch_s``,
so that instances with more cores usually claim first."""


class TenureRecord(msgspec.Struct, frozen=True):
    """A claim, renewal or release of the tenure."""

    holder: str
    term: int
    released: bool = False


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
    """

    renew_s: float = 0.3
    watch_s: float = 0.4
    silence_s: float = 1.1
    cut_off_renewal_s: float = 8.0
    claim_delay_s: float = 0.0
    stale_claim_delay_s: float = 1.0

    @property
    def first_claim_delay_s(self) -> float:
        """Return how long to wait before a claim on an empty stream.

        Instances with more cores do not wait. They start sooner and read the stream
        again after ``watch_s``; by then they may have the operators' configuration.
        """
        return self.claim_delay_s and self.watch_s + self.claim_delay_s

    @property
    def released_claim_delay_s(self) -> float:
        """Return how long to wait before a claim on a tenure that was released.

        Instances with more cores do not wait, but while a holder renews they read the
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
    RENEW = "renew"


@dataclass(slots=True)
class TenureView:
    """The last read state of the stream; ``changed_s`` is when it last grew.

    ``readable_since_s`` is the time since which every read has succeeded, so that an
    outage of the log is not mistaken for a holder that no longer renews. ``inherited``
    tells that the holder, when first read, was an earlier run of this instance, which
    has ended.
    """

    end: int = 0
    newest: TenureRecord | None = None
    changed_s: float = 0.0
    readable_since_s: float = float("inf")
    inherited: bool = False

    def take(self, end: int, newest: TenureRecord | None, now_s: float) -> None:
        """Apply the result of a read."""
        self.readable_since_s = min(self.readable_since_s, now_s)
        if end != self.end:
            self.changed_s = now_s
            self.inherited = False
        self.end = end
        if newest is not None:
            self.newest = newest

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


def decide_step(
    view: TenureView, term: int, fitness: Fitness, times: TenureTimes, now_s: float
) -> TenureStep:
    """Return the next action; ``term`` is 0 if this instance is not the holder."""
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
    return TenureStep.CLAIM if is_due else TenureStep.WATCH


def _is_due(view: TenureView, times: TenureTimes, now_s: float) -> bool:
    """Tell whether the tenure has been vacant long enough for a claim."""
    if view.newest is None:
        return now_s - view.readable_since_s >= times.first_claim_delay_s
    if view.newest.released:
        return now_s - view.changed_s >= times.released_claim_delay_s
    unchanged_since_s = max(view.changed_s, view.readable_since_s)
    return now_s - unchanged_since_s > times.silence_s + times.claim_delay_s


def get_claim_delay_s(cores: float) -> float:
    """Return how long an instance with ``cores`` CPU cores delays a claim.

    The holder does most of the work, so instances with more cores should claim first;
    with one core or more there is no delay.
    """
    return MAX_CLAIM_DELAY_S * max(0.0, min(1.0, 1 / cores - 1))
