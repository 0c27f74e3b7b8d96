"""Decide for each request of one service: send it where, queue it, or refuse it.

A request that cannot be served before its deadline is refused at once, with the
time at which coming back makes sense.
"""

from dataclasses import dataclass

from larkhoist.codes import Code
from larkhoist.problem import Problem
from larkhoist.requests.fair_queue import FairQueue, QueuedRequest
from larkhoist.requests.policy import RequestPolicy
from larkhoist.requests.retry_budget import RetryBudget
from larkhoist.requests.upstream_set import UpstreamSet

__all__ = ["Dispatcher", "Queued", "Refused", "SendTo", "create_dispatcher"]

SMOOTHING = 0.1
FIRST_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the request to an upstream; its slot is counted already."""

    request_id: str
    upstream: str


@dataclass(frozen=True, slots=True)
class Queued:
    """Wait: the request is given out later or refused at its deadline."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Answer the request at once; it ran nowhere."""

    request_id: str
    problem: Problem


class Dispatcher:
    """Hold the queue, the upstreams and the retry budget of one service."""

    def __init__(self, policy: RequestPolicy):
        self.policy = policy
        self.upstreams = UpstreamSet(policy)
        self.queue = FairQueue()
        self.retries = RetryBudget(
            policy.retry_ratio, policy.retry_burst, policy.retry_burst
        )
        self._interval_s: float | None = None
        self._finished_s: float | None = None

    def offer(
        self, request: QueuedRequest, share: int, now_s: float
    ) -> SendTo | Queued | Refused:
        """Decide about a request that has just come in."""
        if not self.queue:
            upstream = self.upstreams.choose(now_s)
            if upstream is not None:
                self.upstreams.begin(upstream, now_s)
                return SendTo(request.request_id, upstream)
        problem = self._check_queue(request, now_s)
        if problem is not None:
            return Refused(request.request_id, problem)
        self.queue.push(request, share)
        return Queued(request.request_id)

    def choose_again(self, avoid: frozenset[str], now_s: float) -> str | None:
        """Return another upstream for a retry within the budget, or None."""
        upstream = self.upstreams.choose(now_s, avoid)
        if upstream is None or not self.retries.try_spend():
            return None
        self.upstreams.begin(upstream, now_s)
        return upstream

    def finish(self, upstream: str, well: bool, now_s: float) -> list[SendTo | Refused]:
        """Count an ended request and give its slot to the next in line."""
        self.upstreams.finish(upstream, well, now_s)
        self._note_finish(now_s)
        return self.pump(now_s)

    def pump(self, now_s: float) -> list[SendTo | Refused]:
        """Refuse what is late and give free slots to waiting requests."""
        decisions: list[SendTo | Refused] = [
            Refused(
                request.request_id,
                Problem(Code.DEADLINE_IN_QUEUE, retry_after_s=self._get_wait()),
            )
            for request in self.queue.pop_late(now_s)
        ]
        while self.queue:
            upstream = self.upstreams.choose(now_s)
            if upstream is None:
                break
            request = self.queue.pop()
            self.upstreams.begin(upstream, now_s)
            decisions.append(SendTo(request.request_id, upstream))
        return decisions

    def _check_queue(self, request: QueuedRequest, now_s: float) -> Problem | None:
        wait_s = self._get_wait()
        if not self.upstreams.names():
            return Problem(Code.NO_UPSTREAM, retry_after_s=FIRST_RETRY_AFTER_S)
        if len(self.queue) >= self.policy.max_queue:
            return Problem(Code.QUEUE_FULL, retry_after_s=wait_s)
        if self.queue.count(request.customer) >= self.policy.max_customer_queue:
            return Problem(Code.CUSTOMER_LIMIT, retry_after_s=wait_s)
        if now_s + wait_s > request.deadline_s:
            return Problem(Code.DEADLINE_IN_QUEUE, retry_after_s=wait_s)
        return None

    def _get_wait(self) -> float:
        if self._interval_s is None:
            return 0.0 if not self.queue else FIRST_RETRY_AFTER_S
        return (len(self.queue) + 1) * self._interval_s

    def _note_finish(self, now_s: float) -> None:
        # Only while requests wait do finishes tell how fast the queue moves.
        if self.queue and self._finished_s is not None:
            gap_s = now_s - self._finished_s
            if self._interval_s is None:
                self._interval_s = gap_s
            else:
                self._interval_s += SMOOTHING * (gap_s - self._interval_s)
        self._finished_s = now_s if self.queue else None


def create_dispatcher(policy: RequestPolicy) -> Dispatcher:
    """Return a dispatcher that knows no upstream yet."""
    return Dispatcher(policy)
