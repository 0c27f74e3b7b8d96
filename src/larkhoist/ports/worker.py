"""Define the interface to a worker: leases, task commands and reports.

A worker accepts commands only from the holder of its unexpired lease. It stops all
tasks by itself if its lease is not renewed within the task term.
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
    """State of one task on a worker."""

    PREPARED = "prepared"
    RUNNING = "running"
    THROTTLED = "throttled"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class Verb(StrEnum):
    """Command that a worker accepts."""

    PREPARE = "prepare"
    START = "start"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"
    FORGET = "forget"


class TaskReport(msgspec.Struct, frozen=True):
    """State of one task; ``accelerators`` is a bit mask over those of the worker."""

    job_id: str
    attempt: int
    member: int
    state: TaskState
    accelerators: int
    elapsed_s: float = 0.0
    checkpointed: bool = False


class LeaseRequest(msgspec.Struct, frozen=True):
    """Request to grant or renew a worker's lease for ``term_s`` seconds.

    Tasks continue for ``task_term_s`` seconds after the last renewal.
    """

    holder: str
    epoch: int
    term_s: float
    task_term_s: float


class LeaseReply(msgspec.Struct, frozen=True):
    """Answer to a lease request: the state of the lease and of all tasks."""

    granted: bool
    holder: str
    epoch: int
    left_s: float
    tasks: tuple[TaskReport, ...] = ()


class TaskCommand(msgspec.Struct, frozen=True):
    """Command for one task; ``prepare`` alone uses the last three fields.

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
    """Commands for one worker under one lease."""

    holder: str
    epoch: int
    commands: tuple[TaskCommand, ...]


class CommandReply(msgspec.Struct, frozen=True):
    """Answer to a command request.

    ``done`` tells for each command whether it was carried out. If ``fenced`` is True,
    all were refused.
    """

    fenced: bool
    done: tuple[bool, ...] = ()


class WorkerPort(Protocol):
    """Client of one worker."""

    async def lease(self, request: LeaseRequest) -> Result[LeaseReply, Problem]:
        """Take or renew the lease of the worker."""

    async def command(self, request: CommandRequest) -> Result[CommandReply, Problem]:
        """Carry out the commands in order."""
