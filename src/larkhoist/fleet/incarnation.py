"""Distinguish the incarnations of a worker by their start times."""

from dataclasses import dataclass
from enum import Enum, auto

__all__ = ["Incarnation", "IncarnationOrder"]


class IncarnationOrder(Enum):
    """Order the incarnation that sent an answer relative to the known one."""

    SAME = auto()
    LATER = auto()
    FORMER = auto()


@dataclass(slots=True)
class Incarnation:
    """Hold the start time of a worker's current incarnation.

    ``started_ms`` is in Unix milliseconds, 0 if unknown. ``heard_s`` is when its last
    answer was processed, in monotonic seconds.
    """

    started_ms: int = 0
    heard_s: float = float("-inf")

    def compare(
        self, started_ms: int, asked_s: float = float("-inf")
    ) -> IncarnationOrder:
        """Compare the incarnation that sent an answer with this one.

        ``asked_s`` is when the answer was requested. Answers can arrive out of order.
        The wall clock can be set back between two starts, so an earlier start time is
        accepted in an answer that was requested after the last one was processed.
        """
        if not started_ms or not self.started_ms or started_ms == self.started_ms:
            return IncarnationOrder.SAME
        if started_ms > self.started_ms or asked_s > self.heard_s:
            return IncarnationOrder.LATER
        return IncarnationOrder.FORMER

    def is_other(self, started_ms: int) -> bool:
        """Tell whether ``started_ms`` is known to identify another incarnation."""
        return 0 not in (started_ms, self.started_ms) and started_ms != self.started_ms

    def record_answer(self, started_ms: int, now_s: float) -> None:
        """Record an answer that is not from a former incarnation."""
        self.started_ms = started_ms or self.started_ms
        self.heard_s = now_s
