"""State what the system needs from a worker: leases, task commands and reports.

A worker takes commands only from the holder of its unexpired lease. It stops all
tasks by itself when no lease was renewed for the task term.
"""

from enum import StrEnum
from typing import Protocol

import msgspec
from returns.result import Result

from larkhoist.problem import Problem

__all__ = [
    "CommandReply",
    "CommandRequest",
    "LeaseReply",
    "LeaseRequest",
    "TaskCommand",
    "TaskReport",
    "TaskState",
    "Verb",
    "WorkerPort",
]


class TaskState(StrEnum):
    """Name the states of one task on a worker."""

    PREPARED = "prepared"
    RUNNING = "running"
    THROTTLED = "throttled"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class Verb(StrEnum):
    """Name the commands that a worker takes."""

    PREPARE = "prepare"
    START = "start"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"
    FORGET = "forget"


class TaskReport(msgspec.Struct, frozen=True):
    """Report one task; ``accelerators`` is a bit mask over the worker's own."""

    job_id: str
    attempt: int
    member: int
    state: TaskState
    accelerators: int
    elapsed_s: float = 0.0
    checkpointed: bool = False


class LeaseRequest(msgspec.Struct, frozen=True):
    """Ask for a worker's lease, or renew it, for ``term_s`` seconds.

    Tasks outlive the last renewal by ``task_term_s`` seconds.
    """

    holder: str
    epoch: int
    term_s: float
    task_term_s: float


class LeaseReply(msgspec.Struct, frozen=True):
    """Answer a lease request with the state of the lease and all tasks."""

    granted: bool
    holder: str
    epoch: int
    left_s: float
    tasks: tuple[TaskReport, ...] = ()


class TaskCommand(msgspec.Struct, frozen=True):
    """Command one task; the last fields count for ``prepare`` only.

    A prepared task that is not started within ``hold_s`` seconds is dropped.
    """

    verb: Verb
    job_id: str
    attempt: int
    member: int
    accelerators: int = 0
    payload: str = ""
    hold_s: float = 0.0


class CommandRequest(msgspec.Struct, frozen=True):
    """Carry commands for one worker under one lease."""

    holder: str
    epoch: int
    commands: tuple[TaskCommand, ...]


class CommandReply(msgspec.Struct, frozen=True):
    """Tell which commands were carried out; ``fenced`` refuses all of them."""

    fenced: bool
    done: tuple[bool, ...] = ()


class WorkerPort(Protocol):
    """Reach one worker."""

    async def lease(self, request: LeaseRequest) -> Result[LeaseReply, Problem]:
        """Take or renew the lease of the worker."""

    async def command(self, request: CommandRequest) -> Result[CommandReply, Problem]:
        """Carry out commands in their order."""
