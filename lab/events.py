"""Hold what is to happen, in the order of time."""

import heapq
import itertools

__all__ = ["Events"]


class Events:
    """Hold events; those of one time come in the order in which they were added."""

    def __init__(self):
        self._heap: list[tuple[float, int, object]] = []
        self._numbers = itertools.count()

    def __bool__(self):
        return bool(self._heap)

    def add(self, at_s: float, event: object) -> None:
        """Have an event happen at a time."""
        heapq.heappush(self._heap, (at_s, next(self._numbers), event))

    def get_next_s(self) -> float:
        """Return when the next event happens, infinity if there is none."""
        return self._heap[0][0] if self._heap else float("inf")

    def pop(self) -> tuple[float, object]:
        """Take out the next event and its time."""
        at_s, _, event = heapq.heappop(self._heap)
        return at_s, event
