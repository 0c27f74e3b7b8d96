"""Decide for each request of one service whether to send, queue or refuse it.

A request that is not expected to be served before its deadline is refused at once,
with the time after which a retry is worthwhile.
"""

from dataclasses import dataclass

from larkhoist.codes import Code
from larkhoist.problem import Problem
from larkhoist.requests.fair_queue import FairQueue, QueuedRequest
from larkhoist.requests.policy import RequestPolicy
from larkhoist.requests.retry_budget import RetryBudget
from larkhoist.requests.upstream_set import UpstreamSet

__all__ = ["Dispatcher", "Queued", "Refused", "SendTo", "create_dispatcher"]

INTERVAL_SMOOTHING = 0.1
DEFAULT_RETRY_AFTER_S = 1.0  # until the rate of the queue is known


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the request to ``upstream``, where a slot is already counted for it."""

    request_id: str
    upstream: str


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits until it is sent or until its deadline."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Answer the request with ``problem``; it was not run."""

    request_id: str
    problem: Problem


class Dispatcher:
    """The queue, the upstreams and the retry budget of one service."""

    def __init__(self, policy: RequestPolicy):
        self.policy = policy
        self.upstreams = UpstreamSet(policy)
        self.queue = FairQueue()
        self.retries = RetryBudget(
            policy.retry_ratio, policy.retry_burst, policy.retry_burst
        )
        self._finish_interval_s: float | None = None
        self._last_finish_s: float | None = None

    def admit(
        self, request: QueuedRequest, share: int, now_s: float
    ) -> SendTo | Queued | Refused:
        """Decide about a request that has just arrived."""
        if not self.queue:
            upstream = self.upstreams.choose(now_s)
            if upstream is not None:
                self.upstreams.begin(upstream, now_s)
                return SendTo(request.request_id, upstream)
        problem = self._find_refusal(request, now_s)
        if problem is not None:
            return Refused(request.request_id, problem)
        self.queue.push(request, share)
        return Queued(request.request_id)

    def choose_for_retry(self, avoid: frozenset[str], now_s: float) -> str | None:
        """Return another upstream for a retry within the budget, or None."""
        upstream = self.upstreams.choose(now_s, avoid)
        if upstream is None or not self.retries.try_spend():
            return None
        self.upstreams.begin(upstream, now_s)
        return upstream

    def finish(
        self, upstream: str, succeeded: bool, now_s: float
    ) -> list[SendTo | Refused]:
        """Count an ended request and give its slot to the next waiting one.

        ``succeeded`` is False if the request was sent and the upstream did not
        answer it.
        """
        self.upstreams.finish(upstream, succeeded, now_s)
        self._update_finish_interval(now_s)
        return self.pump(now_s)

    def pump(self, now_s: float) -> list[SendTo | Refused]:
        """Refuse requests past their deadline and give free slots to the others."""
        decisions: list[SendTo | Refused] = [
            Refused(
                request.request_id,
                Problem(Code.DEADLINE_IN_QUEUE, retry_after_s=self._estimate_wait()),
            )
            for request in self.queue.pop_expired(now_s)
        ]
        while self.queue:
            upstream = self.upstreams.choose(now_s)
            if upstream is None:
                break
            request = self.queue.pop()
            self.upstreams.begin(upstream, now_s)
            decisions.append(SendTo(request.request_id, upstream))
        return decisions

    def _find_refusal(self, request: QueuedRequest, now_s: float) -> Problem | None:
        wait_s = self._estimate_wait()
        if not self.upstreams.names():
            return Problem(Code.NO_UPSTREAM, retry_after_s=DEFAULT_RETRY_AFTER_S)
        if len(self.queue) >= self.policy.max_queue:
            return Problem(Code.QUEUE_FULL, retry_after_s=wait_s)
        if self.queue.count(request.customer) >= self.policy.max_customer_queue:
            return Problem(Code.CUSTOMER_LIMIT, retry_after_s=wait_s)
        if now_s + wait_s > request.deadline_s:
            return Problem(Code.DEADLINE_IN_QUEUE, retry_after_s=wait_s)
        return None

    def _estimate_wait(self) -> float:
        if self._finish_interval_s is None:
            return 0.0 if not self.queue else DEFAULT_RETRY_AFTER_S
        return (len(self.queue) + 1) * self._finish_interval_s

    def _update_finish_interval(self, now_s: float) -> None:
        # Without waiting requests, finishes follow the arrivals and say nothing about
        # the rate at which the queue is served.
        if self.queue and self._last_finish_s is not None:
            interval_s = now_s - self._last_finish_s
            if self._finish_interval_s is None:
                self._finish_interval_s = interval_s
            else:
                self._finish_interval_s += INTERVAL_SMOOTHING * (
                    interval_s - self._finish_interval_s
                )
        self._last_finish_s = now_s if self.queue else None


def create_dispatcher(policy: RequestPolicy) -> Dispatcher:
    """Return a dispatcher without upstreams."""
    return Dispatcher(policy)
