"""Provide the event queue of the simulation."""

import heapq
import itertools

__all__ = ["Events"]


class Events:
    """A queue ordered by time; events of equal time stay in insertion order."""

    def __init__(self):
        self._heap: list[tuple[float, int, object]] = []
        self._numbers = itertools.count()

    def __bool__(self):
        return bool(self._heap)

    def add(self, at_s: float, event: object) -> None:
        """Schedule an event at ``at_s``, in seconds."""
        heapq.heappush(self._heap, (at_s, next(self._numbers), event))

    def get_next_s(self) -> float:
        """Return the time of the next event in seconds, infinity if there is none."""
        return self._heap[0][0] if self._heap else float("inf")

    def pop(self) -> tuple[float, object]:
        """Remove the next event and return it with its time."""
        at_s, _, event = heapq.heappop(self._heap)
        return at_s, event
