"""Estimate how long the owner waits for an answer of a worker.

A longer time-out helps where answers are late because the owner's own link or
processor is busy. It follows the answered calls of all workers, as TCP's retransmission
timer does (RFC 6298). Calls without an answer increase it only if they point to the
owner itself, so that dead workers are still found early.
"""

from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from typing import TypeVar

from returns.result import Failure, Result

from larkhoist.codes import Code
from larkhoist.daemon.clock import read_monotonic_s
from larkhoist.ports.task_worker import (
    CALL_TIMEOUT_S,
    LeaseCall,
    StartOrder,
    StopOrder,
    TaskWorkerPort,
    WorkerReport,
)
from larkhoist.problem import Problem

__all__ = ["CallTimes", "TimedCalls", "create_call_times"]

MIN_TIMEOUT_S = CALL_TIMEOUT_S
MAX_TIMEOUT_S = 2.0
"""Covers the 1.6 s in which 5 Mbit/s send 1 MB. Three such calls in a row take as long
as the shortest lease."""
MEAN_WEIGHT = 1 / 32
DEVIATION_WEIGHT = 1 / 16
DEVIATIONS = 4
"""The weights are a quarter of those of RFC 6298, since each sample may come from
another worker: five answers of slow workers in a row must not raise the time-out."""
WINDOW_S = 1.0
MIN_LOST_SHARE = 0.2
MIN_HALLS = 2
"""Lost calls point to the owner if, within ``WINDOW_S``, they concern this share of the
called workers, in total and in each of at least so many data halls."""
DOUBLING_INTERVAL_S = 0.5
HALVING_INTERVAL_S = 2.0
LOSS_SHARE = 0.5
"""A call that fails after a smaller share of its time-out was refused, not lost."""
_LOST_CODES = (Code.WORKER_SILENT, Code.WORKER_UNREACHABLE)
_Read = TypeVar("_Read")


class _RecentWorkers:
    """The workers that were noted within ``WINDOW_S``, counted by data hall."""

    def __init__(self):
        self._noted: OrderedDict[str, tuple[float, str]] = OrderedDict()
        self.by_hall: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._noted)

    def note(self, worker: str, hall: str, now_s: float) -> None:
        if worker in self._noted:
            self._drop(worker)
        self._noted[worker] = (now_s, hall)
        self.by_hall[hall] += 1

    def drop_old(self, now_s: float) -> None:
        while self._noted:
            worker, (noted_s, _) = next(iter(self._noted.items()))
            if noted_s > now_s - WINDOW_S:
                return
            self._drop(worker)

    def _drop(self, worker: str) -> None:
        _, hall = self._noted.pop(worker)
        self.by_hall[hall] -= 1


class CallTimes:
    """The estimate for the calls of one owner to all workers; times are in seconds."""

    def __init__(self):
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._factor = 1
        self._doubled_s = float("-inf")
        self._calm_since_s = float("-inf")
        self._called = _RecentWorkers()
        self._lost = _RecentWorkers()

    def note_call(self, worker: str, hall: str, now_s: float) -> None:
        """Record that a call to a worker is sent."""
        self._called.note(worker, hall, now_s)
        self._called.drop_old(now_s)

    def note_answer(self, late_s: float) -> None:
        """Record an answer that came ``late_s`` after the wait that its call allowed.

        Before the end of that wait, nothing tells when the worker sent it.
        """
        if late_s < 0:
            return
        error_s = late_s - self._mean_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * error_s

    def note_loss(self, worker: str, hall: str, now_s: float) -> None:
        """Record that a call to a worker got no answer in time."""
        self.note_call(worker, hall, now_s)
        self._lost.note(worker, hall, now_s)
        self._lost.drop_old(now_s)
        if self._is_owner_at_fault():
            self.note_own_delay(now_s)

    def note_own_delay(self, now_s: float) -> None:
        """Record a sign that the owner itself delays its calls."""
        timeout_s = self.get_timeout_s(now_s)
        self._calm_since_s = now_s
        is_due = now_s >= self._doubled_s + DOUBLING_INTERVAL_S
        if is_due and timeout_s < MAX_TIMEOUT_S:
            self._factor *= 2
            self._doubled_s = now_s

    def get_timeout_s(self, now_s: float) -> float:
        """Return how long a call may take beyond the wait that it allows."""
        while self._factor > 1 and now_s >= self._calm_since_s + HALVING_INTERVAL_S:
            self._factor //= 2
            self._calm_since_s += HALVING_INTERVAL_S
        estimate_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, estimate_s) * self._factor)

    def _is_owner_at_fault(self) -> bool:
        """Tell whether the lost calls point to the owner and not to their workers.

        Each hall is judged for itself, so that one dead worker elsewhere does not make
        the owner the cause of a hall that is cut off.
        """
        called, lost = self._called, self._lost
        if len(lost) < MIN_LOST_SHARE * len(called):
            return False
        halls = [
            hall
            for hall, count in lost.by_hall.items()
            if hall and count and count >= MIN_LOST_SHARE * called.by_hall[hall]
        ]
        return len(halls) >= MIN_HALLS


class TimedCalls:
    """The calls to one worker, with the time-out that ``times`` estimates."""

    def __init__(self, port: TaskWorkerPort, worker: str, hall: str, times: CallTimes):
        self._port = port
        self._worker = worker
        self._hall = hall
        self._times = times

    async def start_task(self, order: StartOrder) -> Result[int, Problem]:
        """Start a task and return the worker's clock in milliseconds."""
        return await self._call(lambda limit_s: self._port.start_task(order, limit_s))

    async def stop_task(self, order: StopOrder) -> Result[int, Problem]:
        """Stop a task and return the worker's clock in milliseconds."""
        return await self._call(lambda limit_s: self._port.stop_task(order, limit_s))

    async def renew(self, call: LeaseCall) -> Result[WorkerReport, Problem]:
        """Renew the lease, acknowledge ends and return the worker's report."""
        wait_s = call.wait_ms / 1000
        return await self._call(lambda limit_s: self._port.renew(call, limit_s), wait_s)

    async def _call(
        self,
        send: Callable[[float], Awaitable[Result[_Read, Problem]]],
        wait_s: float = 0.0,
    ) -> Result[_Read, Problem]:
        asked_s = read_monotonic_s()
        timeout_s = self._times.get_timeout_s(asked_s)
        self._times.note_call(self._worker, self._hall, asked_s)
        result = await send(timeout_s)
        now_s = read_monotonic_s()
        took_s = now_s - asked_s
        match result:
            case Failure(problem) if problem.code in _LOST_CODES:
                if took_s >= LOSS_SHARE * timeout_s:
                    self._times.note_loss(self._worker, self._hall, now_s)
            case _:
                self._times.note_answer(took_s - wait_s)
        return result


def create_call_times() -> CallTimes:
    """Return an estimate without any recorded calls."""
    return CallTimes()
