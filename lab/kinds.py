"""Describe the job kinds, workers and faults of a simulated day."""

import math
from dataclasses import dataclass, field

from larkhoist.ports.fleet import Resources

__all__ = [
    "Burst",
    "CrashingWork",
    "DayPlan",
    "FailingWorkers",
    "Fault",
    "JobKind",
    "LeavingWorkers",
    "SlowWorkers",
]


@dataclass(frozen=True, slots=True)
class JobKind:
    """One kind of job; times are in seconds, shares between 0 and 1.

    ``worth`` is what a job of mean size earns if it ends within its objective,
    ``late_worth`` if it ends late. The objective is ``stretch`` times the longest chain
    of work plus ``target_s``. ``work_spread`` and ``width_spread`` are standard
    deviations divided by means. ``estimate_error`` bounds the relative error of the
    declared estimates, ``task_variation`` how far the tasks of one job differ.
    ``initial_jobs`` is the number of jobs queued when the day begins.
    """

    name: str
    priority: int
    per_s: float
    worth: float
    late_worth: float
    stretch: float
    target_s: float
    attempts: int
    work_s: float
    work_spread: float
    max_work_s: float
    width: float
    width_spread: float
    max_width: int
    cpu_milli: int
    memory_mb: int
    accelerators: tuple[int, ...]
    second_step: float = 0.0
    gang: bool = False
    same_rack: float = 0.0
    checkpoints: float = 0.0
    data_rack: float = 0.0
    spread_limit: float = 0.0
    label: float = 0.0
    cancelled: float = 0.0
    always_fails: float = 0.0
    fails: float = 0.0
    estimate_error: float = 0.0
    task_variation: float = 0.0
    initial_jobs: int = 0


@dataclass(frozen=True, slots=True)
class Burst:
    """A period in which jobs of one kind arrive ``factor`` times as often."""

    kind: str
    at_s: float
    for_s: float
    factor: float


@dataclass(frozen=True, slots=True)
class SlowWorkers:
    """A period in which a share of the workers takes ``factor`` times as long."""

    at_s: float
    for_s: float
    share: float
    factor: float


@dataclass(frozen=True, slots=True)
class FailingWorkers:
    """A period in which a share of the workers fails every task that it starts."""

    at_s: float
    for_s: float
    share: float


@dataclass(frozen=True, slots=True)
class CrashingWork:
    """A share of all jobs that crash each worker that starts their first task."""

    share: float


@dataclass(frozen=True, slots=True)
class LeavingWorkers:
    """A share of the workers that leave for good, one by one, from ``at_s`` on.

    Each announces it, continues for ``exit_delay_s`` so that its running tasks may end,
    and then exits.
    """

    at_s: float
    for_s: float
    share: float
    exit_delay_s: float = 16.0


Fault = SlowWorkers | FailingWorkers | CrashingWork | LeavingWorkers


@dataclass(frozen=True, slots=True)
class DayPlan:
    """A day of load; jobs that have not ended ``finish_s`` after it earn nothing.

    ``guaranteed`` is the share of all accelerators that customers are guaranteed
    together, ``save_s`` the interval between checkpoints. A step away from its data or
    spread over several racks takes ``remote_factor`` times as long. The run times of
    each worker are multiplied by one of ``speeds``, drawn from the seed.
    """

    name: str
    kinds: tuple[JobKind, ...]
    workers: int
    per_rack: int
    room: Resources
    customers: int
    guaranteed: float
    load: float = 1.0
    length_s: float = 41.0
    finish_s: float = 14.0
    stop_s: float = 0.4
    save_s: float = 2.0
    restore_s: float = 0.6
    remote_factor: float = 3.0
    speeds: tuple[float, ...] = (1.0,)
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = field(default=())

    @property
    def racks(self) -> int:
        """Return the number of racks; the last may hold fewer workers."""
        return math.ceil(self.workers / self.per_rack)
