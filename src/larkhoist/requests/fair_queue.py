"""Queue requests so that customers are served in proportion to their shares.

This is self-clocked fair queueing with requests of equal cost: the tag of a request is
the last tag of its customer, or the virtual time if that is greater, plus
``1 / share``. The request with the smallest tag is served first, and its tag becomes
the virtual time.
"""

from collections import deque
from dataclasses import dataclass, field

from sortedcontainers import SortedList

__all__ = ["FairQueue", "QueuedRequest"]


@dataclass(slots=True)
class QueuedRequest:
    """A waiting request; ``queued_s`` and ``deadline_s`` are monotonic times."""

    request_id: str
    customer: str
    queued_s: float
    deadline_s: float
    tag: float = 0.0


@dataclass(slots=True)
class _CustomerQueue:
    waiting: deque[QueuedRequest] = field(default_factory=deque)
    last_tag: float = 0.0


class FairQueue:
    """The waiting requests of one service."""

    def __init__(self):
        self._customer_queues: dict[str, _CustomerQueue] = {}
        self._heads: SortedList = SortedList()
        self._deadlines: SortedList = SortedList()
        self._waiting: dict[str, QueuedRequest] = {}
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._waiting)

    def count(self, customer: str) -> int:
        """Return the number of waiting requests of a customer."""
        customer_queue = self._customer_queues.get(customer)
        return len(customer_queue.waiting) if customer_queue is not None else 0

    def push(self, request: QueuedRequest, share: int) -> None:
        """Queue a request with its customer's ``share`` as the weight."""
        customer_queue = self._customer_queues.setdefault(
            request.customer, _CustomerQueue()
        )
        request.tag = max(self._virtual_time, customer_queue.last_tag) + 1 / share
        customer_queue.last_tag = request.tag
        customer_queue.waiting.append(request)
        if len(customer_queue.waiting) == 1:
            self._heads.add((request.tag, request.customer))
        self._deadlines.add((request.deadline_s, request.request_id))
        self._waiting[request.request_id] = request

    def pop(self) -> QueuedRequest | None:
        """Return the request to serve next, or None if none waits."""
        if not self._heads:
            return None
        tag, customer = self._heads[0]
        self._virtual_time = max(self._virtual_time, tag)
        request = self._customer_queues[customer].waiting[0]
        self.remove(request.request_id)
        return request

    def remove(self, request_id: str) -> bool:
        """Remove one request; return False if it was not waiting."""
        request = self._waiting.pop(request_id, None)
        if request is None:
            return False
        self._deadlines.remove((request.deadline_s, request_id))
        customer_queue = self._customer_queues[request.customer]
        if customer_queue.waiting[0] is request:
            self._heads.remove((request.tag, request.customer))
            customer_queue.waiting.popleft()
            if customer_queue.waiting:
                self._heads.add((customer_queue.waiting[0].tag, request.customer))
        else:
            customer_queue.waiting.remove(request)
        if not customer_queue.waiting:
            del self._customer_queues[request.customer]
        return True

    def pop_expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return every request whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            request = self._waiting[self._deadlines[0][1]]
            self.remove(request.request_id)
            expired.append(request)
        return expired
