"""Define the interface of the staged-job scheduler to a worker.

A worker runs its tasks under one lease, whose end is a time on the worker's own
monotonic clock. It keeps the highest fencing token it has received and refuses lower
ones. It reports the end of a task until the end is acknowledged.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from larkhoist.problem import Problem

__all__ = [
    "CALL_TIMEOUT_S",
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


CALL_TIMEOUT_S = 0.7
"""Workers answer orders within milliseconds; a later answer counts as lost, unless the
caller knows that its own link or processor is busy."""
CLOCK_DRIFT = 0.02
"""A worker's clock may run slower than true time by this fraction, as specified."""


class EndKind(StrEnum):
    """How a task ended.

    ``BROKEN``: another member of its gang ended. ``ALONE``: the other members of its
    gang did not start in time. ``LAPSED``: the worker's lease ended.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start one attempt; ``lease_until_ms`` is a time on the worker's clock.

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
    """Order to stop one attempt of a task, even if its start has not arrived yet."""

    task: str
    attempt: int
    token: int


@dataclass(frozen=True, slots=True)
class LeaseCall:
    """Request to renew the lease, acknowledge ends and return a report.

    Without ``lease_until_ms`` the lease is unchanged. The worker answers as soon as a
    task ends, and after ``wait_ms`` at the latest. ``started_ms`` identifies the
    incarnation that numbered the acknowledged ends, 0 for any.
    """

    token: int
    acknowledged: int
    lease_until_ms: int | None = None
    wait_ms: int = 0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """One running attempt; ``percent`` is how much of its work is done.

    It is between 0 and 100, None if unknown. A member of a gang that is done shows 100
    while it waits for the others.
    """

    task: str
    attempt: int
    checkpoint: str
    percent: float | None = None


@dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of one attempt; ``number`` increases within a worker's incarnation."""

    number: int
    task: str
    attempt: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Report of a worker; ``clock_ms`` is its monotonic clock.

    If ``complete`` is False, the report does not list all ends: a task that it does not
    name may have ended. ``started_ms`` is the start time of the worker in Unix
    milliseconds, 0 if unknown.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool = True
    started_ms: int = 0


class TaskWorkerPort(Protocol):
    """Client of one worker.

    A call that gets no answer within ``timeout_s`` seconds, beyond the wait that it
    allows, has failed. The time begins when the call is sent.

    A call that is meant for one incarnation has no effect on any other. After the
    failures ``FENCED``, ``WORKER_FULL``, ``ATTEMPT_TOO_OLD``, ``ORDER_TOO_LATE``,
    ``WORKER_REPLACED``, ``ORDER_REFUSED`` and ``WORKER_UNREACHABLE`` the call had no
    effect; after ``WORKER_SILENT`` it may have had one or may still have.
    """

    async def start_task(
        self, order: StartOrder, timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[int, Problem]:
        """Start a task and return the worker's clock in milliseconds.

        Also fails with ``ORDER_TOO_LATE`` if another incarnation has replaced the one
        that the order is meant for.
        """

    async def stop_task(
        self, order: StopOrder, timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[int, Problem]:
        """Stop a task and return the worker's clock in milliseconds."""

    async def renew(
        self, call: LeaseCall, timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[WorkerReport, Problem]:
        """Renew the lease, acknowledge ends and return the worker's report.

        An incarnation other than the one that the call is meant for only reports.
        """
