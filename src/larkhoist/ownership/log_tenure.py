"""Decide who schedules, by records on a stream that only grows.

The holder appends a renewal at short intervals, each under the condition that the
stream still ends where it last saw it. Whoever sees no new record for a while
appends a claim under the same condition: one of several claims wins, and the
offset of the claim is its term, a fencing token that never comes again.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

__all__ = [
    "OWNER_KEY",
    "TENURE_STREAM",
    "TenureRecord",
    "TenureStep",
    "TenureTimes",
    "TenureView",
    "decide_step",
]

TENURE_STREAM = "tenure"
OWNER_KEY = "owner"


class TenureRecord(msgspec.Struct, frozen=True):
    """Claim, renew or release the tenure."""

    holder: str
    term: int
    released: bool = False


@dataclass(frozen=True, slots=True)
class TenureTimes:
    """Hold times in seconds.

    ``silence_s`` covers three lost renewals. ``predecessor_s`` bounds how long a
    holder that is cut off from the log goes on renewing workers' leases; it is
    longer than the platform's usual outages.
    """

    renew_s: float = 0.4
    watch_s: float = 0.5
    silence_s: float = 1.6
    predecessor_s: float = 8.0


class TenureStep(Enum):
    """Name what an instance does next about the tenure."""

    WATCH = "watch"
    CLAIM = "claim"
    RENEW = "renew"


@dataclass(slots=True)
class TenureView:
    """Hold what was last seen of the stream; ``changed_s`` is when it last grew.

    ``watched_s`` is since when the stream could be read without a break, so that
    an outage of the log is not taken for the holder's silence.
    """

    end: int = 0
    newest: TenureRecord | None = None
    changed_s: float = 0.0
    watched_s: float = float("inf")

    def take(self, end: int, newest: TenureRecord | None, now_s: float) -> None:
        """Take the result of one read."""
        self.watched_s = min(self.watched_s, now_s)
        if end != self.end:
            self.changed_s = now_s
        self.end = end
        if newest is not None:
            self.newest = newest

    def note_failed_read(self) -> None:
        """Note that the stream could not be read."""
        self.watched_s = float("inf")


def decide_step(
    view: TenureView, term: int, eligible: bool, times: TenureTimes, now_s: float
) -> TenureStep:
    """Decide what to do next; ``term`` is 0 for an instance that does not hold."""
    if term:
        return TenureStep.RENEW
    if not eligible:
        return TenureStep.WATCH
    if view.newest is None or view.newest.released:
        return TenureStep.CLAIM
    quiet_since_s = max(view.changed_s, view.watched_s)
    if now_s - quiet_since_s > times.silence_s:
        return TenureStep.CLAIM
    return TenureStep.WATCH
