"""State what the scheduler of staged jobs needs from a worker.

A worker runs tasks under one lease, which counts on its own steady clock. It
keeps the highest fencing token it has seen and refuses lower ones. The end of a
task is reported until it was acknowledged.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from larkhoist.problem import Problem

__all__ = [
    "CLOCK_DRIFT",
    "EndKind",
    "EndedTask",
    "LeaseCall",
    "RunningTask",
    "StartOrder",
    "StopOrder",
    "TaskWorkerPort",
    "WorkerReport",
]


CLOCK_DRIFT = 0.02
"""How much slower than true time a worker's clock may run; from the users' pages."""


class EndKind(StrEnum):
    """Name how a task ended.

    ``BROKEN`` ended because another member of its gang did, ``ALONE`` because the
    other members did not come in time, ``LAPSED`` with the lease.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one attempt of a task; ``lease_until_ms`` is on the worker's clock.

    ``started_ms`` identifies the incarnation that the order is meant for, 0 for any.
    """

    task: str
    attempt: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one attempt of a task, also one that has not arrived yet."""

    task: str
    attempt: int
    token: int


@dataclass(frozen=True, slots=True)
class LeaseCall:
    """Renew the lease, acknowledge ends and ask for a report.

    Without ``lease_until_ms`` the lease stays as it is. The worker answers as soon
    as a task ends, at the latest after ``wait_ms``. ``started_ms`` identifies the
    incarnation that numbered the acknowledged ends, 0 for any.
    """

    token: int
    acknowledged: int
    lease_until_ms: int | None = None
    wait_ms: int = 0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Describe one running attempt; ``share`` is the percentage it reports."""

    task: str
    attempt: int
    checkpoint: str
    share: int


@dataclass(frozen=True, slots=True)
class EndedTask:
    """Describe one end; ``number`` rises within one incarnation of the worker."""

    number: int
    task: str
    attempt: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Hold what a worker says of itself; ``clock_ms`` is its steady clock.

    Unless ``whole``, there are more ends than one report lists: what it doesn't name
    may have ended. ``started_ms`` is the start time of the worker in Unix milliseconds,
    0 if unknown.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    whole: bool = True
    started_ms: int = 0


class TaskWorkerPort(Protocol):
    """Reach one worker.

    A call that is meant for one incarnation acts in no other one. Failures are
    ``FENCED``, ``WORKER_FULL``, ``ATTEMPT_TOO_OLD``, ``ORDER_TOO_LATE``,
    ``WORKER_REPLACED``, ``ORDER_REFUSED`` and ``WORKER_UNREACHABLE``, after which
    nothing was done, and ``WORKER_SILENT``, after which the order may still act.
    """

    async def start_task(self, order: StartOrder) -> Result[int, Problem]:
        """Start a task and return the worker's clock in milliseconds.

        ``ORDER_TOO_LATE`` tells as well that another incarnation serves by now.
        """

    async def stop_task(self, order: StopOrder) -> Result[int, Problem]:
        """Stop a task and return the worker's clock in milliseconds."""

    async def renew(self, call: LeaseCall) -> Result[WorkerReport, Problem]:
        """Renew the lease, acknowledge ends and report.

        Another incarnation than the call is meant for only reports.
        """
