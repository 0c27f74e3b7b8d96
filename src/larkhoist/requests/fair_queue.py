"""Queue requests so that each customer is served by its share.

Start-time fair queueing: a request's tag grows with the work queued before it by
the same customer, divided by the customer's share; the smallest tag goes first.
"""

from collections import deque
from dataclasses import dataclass, field

from sortedcontainers import SortedList

__all__ = ["FairQueue", "QueuedRequest"]


@dataclass(slots=True)
class QueuedRequest:
    """Hold one waiting request; ``deadline_s`` is on the monotonic clock."""

    request_id: str
    customer: str
    queued_s: float
    deadline_s: float
    tag: float = 0.0


@dataclass(slots=True)
class _Line:
    waiting: deque[QueuedRequest] = field(default_factory=deque)
    last_tag: float = 0.0


class FairQueue:
    """Hold the waiting requests of one service."""

    def __init__(self):
        self._lines: dict[str, _Line] = {}
        self._heads: SortedList = SortedList()
        self._deadlines: SortedList = SortedList()
        self._waiting: dict[str, QueuedRequest] = {}
        self._virtual = 0.0

    def __len__(self):
        return len(self._waiting)

    def count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""
        line = self._lines.get(customer)
        return len(line.waiting) if line is not None else 0

    def push(self, request: QueuedRequest, share: int) -> None:
        """Queue a request at the customer's share."""
        line = self._lines.setdefault(request.customer, _Line())
        request.tag = max(self._virtual, line.last_tag) + 1 / share
        line.last_tag = request.tag
        line.waiting.append(request)
        if len(line.waiting) == 1:
            self._heads.add((request.tag, request.customer))
        self._deadlines.add((request.deadline_s, request.request_id))
        self._waiting[request.request_id] = request

    def pop(self) -> QueuedRequest | None:
        """Return the request to serve next, or None where none waits."""
        if not self._heads:
            return None
        tag, customer = self._heads[0]
        self._virtual = max(self._virtual, tag)
        request = self._lines[customer].waiting[0]
        self.remove(request.request_id)
        return request

    def remove(self, request_id: str) -> bool:
        """Take one request out; return False where it does not wait."""
        request = self._waiting.pop(request_id, None)
        if request is None:
            return False
        self._deadlines.remove((request.deadline_s, request_id))
        line = self._lines[request.customer]
        if line.waiting[0] is request:
            self._heads.remove((request.tag, request.customer))
            line.waiting.popleft()
            if line.waiting:
                self._heads.add((line.waiting[0].tag, request.customer))
        else:
            line.waiting.remove(request)
        if not line.waiting:
            del self._lines[request.customer]
        return True

    def pop_late(self, now_s: float) -> list[QueuedRequest]:
        """Take out every request whose deadline has come."""
        late = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            request = self._waiting[self._deadlines[0][1]]
            self.remove(request.request_id)
            late.append(request)
        return late
