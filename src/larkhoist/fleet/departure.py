"""Describe whether and how a worker leaves, and until when its tasks may run.

When a worker leaves, an answer that is still on its way is lost. A task that ends just
before may therefore be listed in an answer that never arrives, and nobody learns of its
end. So no task may end by itself later than the last time at which its end is certain
to be heard.
"""

from dataclasses import dataclass, replace

from larkhoist.ports.fleet import ListedTaskWorker
from larkhoist.ports.task_worker import CLOCK_DRIFT

__all__ = [
    "Announced",
    "Departure",
    "Staying",
    "Unannounced",
    "announce",
    "get_last_end_s",
    "is_departing",
    "update_from_entry",
    "update_from_report",
]


@dataclass(frozen=True, slots=True)
class Staying:
    """The worker is on the list and has not announced that it leaves."""


@dataclass(frozen=True, slots=True)
class Announced:
    """The worker has announced that it leaves.

    When its clock read ``clock_ms``, it was going to serve for at least ``remaining_s``
    more seconds; None if it did not say for how long.

    The other two are monotonic times between which that time ends. The earlier one,
    ``reported_until_s``, follows from the clock in its reports. The later one,
    ``listed_until_s``, counts from when the entry was read, which may have been written
    long before.
    """

    clock_ms: int
    remaining_s: float | None
    listed_until_s: float = float("inf")
    reported_until_s: float = float("-inf")

    @property
    def serves_until_s(self) -> float | None:
        """Return until when the worker serves at least; None if that is unknown."""
        if self.remaining_s is None:
            return None
        if self.reported_until_s == float("-inf"):
            return self.listed_until_s
        return min(self.reported_until_s, self.listed_until_s)


@dataclass(frozen=True, slots=True)
class Unannounced:
    """The entry left the list at ``since_s`` without an announcement.

    It may also have expired while the worker runs on.
    """

    since_s: float


Departure = Staying | Announced | Unannounced


def announce(entry: ListedTaskWorker, now_s: float) -> Announced:
    """Return the departure that an entry announces; it was read at ``now_s``."""
    departure = Announced(entry.clock_ms, entry.remaining_s)
    if entry.remaining_s is None:
        return departure
    return replace(departure, listed_until_s=now_s + entry.remaining_s)


def update_from_entry(
    departure: Announced, entry: ListedTaskWorker, now_s: float
) -> Announced:
    """Return the departure after a later entry of the worker, read at ``now_s``.

    The worker may have to leave sooner than it announced first.
    """
    if entry.remaining_s is None or entry.clock_ms == departure.clock_ms:
        return departure
    later = announce(entry, now_s)
    sooner_s = max(0.0, _get_until_clock_s(departure) - _get_until_clock_s(later))
    return replace(
        later,
        listed_until_s=min(departure.listed_until_s, later.listed_until_s),
        reported_until_s=departure.reported_until_s - sooner_s,
    )


def _get_until_clock_s(departure: Announced) -> float:
    """Return until when the worker serves by its own clock, in seconds."""
    if departure.remaining_s is None:
        return float("inf")
    return departure.clock_ms / 1000 + departure.remaining_s


def update_from_report(
    departure: Departure, clock_ms: int, asked_s: float
) -> Departure:
    """Return the departure after a report that was requested at ``asked_s``.

    ``clock_ms`` is the worker's clock when it answered, hence after ``asked_s``.
    """
    match departure:
        case Announced(announced_ms, remaining_s) if remaining_s is not None:
            passed_s = (clock_ms - announced_ms) / 1000
            if passed_s > 0:
                passed_s /= 1 - CLOCK_DRIFT
            until_s = max(departure.reported_until_s, asked_s + remaining_s - passed_s)
            return replace(departure, reported_until_s=until_s)
        case _:
            return departure


def get_last_end_s(departure: Departure, margin_s: float) -> float | None:
    """Return the last time at which an end on a worker is certain to be heard.

    That is ``margin_s`` before the worker may have left. None if there is no such time,
    or if it is unknown.
    """
    match departure:
        case Announced(serves_until_s=until_s) if until_s is not None:
            return until_s - margin_s
        case _:
            return None


def is_departing(departure: Departure, now_s: float, grace_s: float) -> bool:
    """Tell whether the worker leaves, or has been off the list for over ``grace_s``."""
    match departure:
        case Staying():
            return False
        case Announced():
            return True
        case Unannounced(since_s):
            return now_s > since_s + grace_s
