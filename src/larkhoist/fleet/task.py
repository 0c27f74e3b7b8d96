"""Hold the tasks of one step of one run, and the job they belong to."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from larkhoist.fleet.lost_workers import LostIncarnation, UnsettledLoss
from larkhoist.fleet.speeds import StepSize
from larkhoist.fleet.waits import WaitReason
from larkhoist.jobs.records import (
    BlockId,
    BlockProgress,
    LostWorkers,
    PhaseId,
    PhaseProgress,
    ProgressPart,
    RecordedLoss,
    TaskProgress,
    count_block_tasks,
    get_first_task,
)
from larkhoist.jobs.run_ranges import RunRanges
from larkhoist.jobs.spec import StagedJob, StepSpec, make_task_name
from larkhoist.ports.fleet import Resources

__all__ = [
    "ActiveJob",
    "DeclaredPaths",
    "Phase",
    "Task",
    "TaskState",
    "create_phase",
    "restore_loss",
]

CORES_PER_ACCELERATOR = 8
"""How many cores one accelerator counts for in the cost of work, by their prices."""
TASK_BYTES = 80
"""About what one task takes in a record without its checkpoint."""
MAX_WHOLE_BYTES = 200_000
"""The log takes records of 256 KB, of which unsettled losses may use 30 KB."""
MAX_RECORDED_LOSSES = 500
"""How many unsettled losses one record holds, some 60 bytes each, so that the progress
of the widest step stays below the log's limit. Others count as crashes for the next
owner."""


class TaskState(Enum):
    """Name the state of a task.

    In ``STARTING``, ``RUNNING`` and ``STOPPING`` the task may run and takes room on a
    worker.
    """

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


ON_WORKER_STATES = (TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING)


@dataclass(slots=True)
class Task:
    """Hold one task; times are monotonic seconds.

    From ``settled_s`` on, no start order can begin the attempt any more, so a report
    that is requested later shows whether it runs. ``saved_s`` is when it started or
    last saved a checkpoint. ``seen_running`` is set once the worker has confirmed to
    this owner that the attempt runs, ``seen_before`` if it had confirmed it to a former
    owner. ``has_begun`` is set if any attempt may have run; after a change of owners
    that is every assigned one. ``is_timed`` is set while the attempt's time can tell
    the speed of its worker (``fleet/task_speeds.py``). ``lost`` counts the workers that
    were lost while they ran the task; ``unsettled`` holds those of them that may prove
    to have been cut off. ``is_held`` is set while the task may not start because of
    these. ``done_earlier`` is set while an attempt may run although an earlier one has
    ended as done; it is stopped. ``worker_started_ms`` is the start time of the worker
    incarnation that the attempt was assigned to, 0 if unknown.
    """

    name: str
    index: int
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    worker: str = ""
    address: str = ""
    worker_started_ms: int = 0
    failures: int = 0
    checkpoint: str = ""
    began_s: float = 0.0
    saved_s: float = 0.0
    settled_s: float = float("inf")
    stop_sent_s: float = float("-inf")
    failed_on: set[str] = field(default_factory=set)
    seen_running: bool = False
    seen_before: bool = False
    has_begun: bool = False
    done_earlier: bool = False
    is_timed: bool = False
    lost: LostWorkers = LostWorkers()
    unsettled: tuple[UnsettledLoss, ...] = ()
    is_held: bool = False

    @property
    def is_on_worker(self) -> bool:
        """Tell whether the task may run on a worker."""
        return self.state in ON_WORKER_STATES

    @property
    def was_seen(self) -> bool:
        """Tell whether a worker has confirmed to any owner that the attempt runs."""
        return self.seen_running or self.seen_before

    def note_running(self) -> None:
        """Note that the worker has confirmed that the attempt runs."""
        self.seen_running = True
        self.has_begun = True

    def get_unsaved_s(self, now_s: float) -> float:
        """Return the seconds of work since the start or the last checkpoint."""
        if self.state is not TaskState.RUNNING:
            return 0.0
        return max(0.0, now_s - max(self.began_s, self.saved_s))


@dataclass(slots=True)
class Phase:
    """Hold one step of one run; times are monotonic seconds.

    A gang that is ``closing`` starts no tasks until all its members are off their
    workers. ``failed_attempt`` is the last attempt of a gang whose failure was counted.

    ``plan`` maps task indexes to the workers on which room is held while other tasks
    stop there. ``wait_reasons`` holds the reasons that were logged for the wait, and
    ``last_noted_s`` is when one was last logged. Until ``next_victim_search_s`` the
    phase looks for no victims. ``size`` is the measured size of its tasks, for a gang
    that of the attempt ``size_attempt``.

    While tasks wait, ``unserved_since_s`` is the time since which none has started. It
    isn't reset if a task fails or stops while others wait, or if the owner changes. If
    a start is refused or never carried out, it is set back to
    ``previous_unserved_since_s``. Once all tasks are done, it is the time when the last
    one ended. ``known_since_s`` is when this owner added the phase. ``blocks`` numbers
    the blocks of its progress that may be on the log. The first ``done_before`` tasks
    are known to be done.
    """

    id: PhaseId
    spec: StepSpec
    tasks: list[Task]
    due_s: float
    waiting_since_s: float = 0.0
    unserved_since_s: float = 0.0
    previous_unserved_since_s: float = 0.0
    known_since_s: float = float("-inf")
    closing: bool = False
    failed_attempt: int = 0
    plan: dict[int, str] = field(default_factory=dict)
    wait_reasons: set[WaitReason] = field(default_factory=set)
    last_noted_s: float = float("-inf")
    next_victim_search_s: float = float("-inf")
    blocks: set[int] = field(default_factory=set)
    size: StepSize | None = None
    size_attempt: int = 0
    done_before: int = 0
    need: Resources = field(init=False)

    def __post_init__(self):
        self.need = self.spec.need

    @property
    def is_done(self) -> bool:
        """Tell whether every task is done.

        A task that is done stays so, so the tasks counted in ``done_before`` are not
        visited again: many steps may depend on this one.
        """
        tasks, count = self.tasks, self.done_before
        while count < len(tasks) and tasks[count].state is TaskState.DONE:
            count += 1
        self.done_before = count
        return count == len(tasks)

    @property
    def is_off_workers(self) -> bool:
        """Tell whether no task may run on a worker."""
        return not any(task.is_on_worker for task in self.tasks)

    @property
    def has_waiting(self) -> bool:
        """Tell whether a task waits, even if the phase is closing."""
        return any(task.state is TaskState.WAITING for task in self.tasks)

    @property
    def is_starting(self) -> bool:
        """Tell whether a task is starting."""
        return any(task.state is TaskState.STARTING for task in self.tasks)

    def get_waiting(self) -> list[Task]:
        """Return the tasks that could be started."""
        if self.closing:
            return []
        waiting = [task for task in self.tasks if task.state is TaskState.WAITING]
        if any(task.is_held for task in waiting):
            if self.spec.gang:
                return []
            waiting = [task for task in waiting if not task.is_held]
        if self.spec.long_running:
            # Tasks that keep ending must not be placed before the others each time.
            waiting.sort(key=lambda task: task.attempt)
        return waiting

    def count_taken(self) -> dict[str, int]:
        """Return how many tasks may run on each worker, if there is a spread limit."""
        taken: dict[str, int] = {}
        if not self.spec.spread_limit:
            return taken
        for task in self.tasks:
            if task.is_on_worker:
                taken[task.worker] = taken.get(task.worker, 0) + 1
        return taken

    @property
    def cores(self) -> float:
        """Return the cores of one task, with accelerators converted to cores."""
        return (
            self.spec.cpu_milli / 1000 + CORES_PER_ACCELERATOR * self.spec.accelerators
        )

    @property
    def work_core_s(self) -> float:
        """Return the declared work of all tasks, in core-seconds."""
        return self.cores * self.spec.estimate_ms / 1000 * len(self.tasks)

    def get_cost(self, tasks: list[Task], now_s: float, restore_s: float) -> float:
        """Return the work that is lost by stopping ``tasks``, in core-seconds.

        Tasks that save checkpoints lose at most ``restore_s`` each.
        """
        lost_s = [task.get_unsaved_s(now_s) for task in tasks]
        if self.spec.checkpoints:
            lost_s = [min(seconds, restore_s) for seconds in lost_s]
        return self.cores * sum(lost_s)

    def make_progress(self, now_s: float, now_ms: int) -> PhaseProgress:
        """Return the progress for the log; both times are the current time."""
        return PhaseProgress(
            self.id,
            tuple(_make_task_progress(task) for task in self.tasks),
            self.failed_attempt,
            self._get_recorded_since_ms(now_s, now_ms),
            _make_recorded_losses(self.tasks, now_s, now_ms),
        )

    def make_block_progress(
        self, number: int, now_s: float, now_ms: int
    ) -> BlockProgress:
        """Return one block of the progress; both times are the current time."""
        first = get_first_task(number)
        tasks = self.tasks[first : first + count_block_tasks(len(self.tasks), number)]
        return BlockProgress(
            self.id,
            number,
            tuple(_make_task_progress(task) for task in tasks),
            self.failed_attempt,
            self._get_recorded_since_ms(now_s, now_ms),
            _make_recorded_losses(tasks, now_s, now_ms),
        )

    @property
    def exceeds_record(self) -> bool:
        """Tell whether the progress of all tasks may be too long for one record."""
        saved = sum(len(task.checkpoint.encode()) for task in self.tasks)
        return saved + TASK_BYTES * len(self.tasks) > MAX_WHOLE_BYTES

    def list_parts(self) -> list[ProgressPart]:
        """Return the records of its progress that may be on the log."""
        return [self.id, *(BlockId(self.id, number) for number in sorted(self.blocks))]

    def _get_recorded_since_ms(self, now_s: float, now_ms: int) -> int:
        return now_ms - int(1000 * (now_s - self._get_recorded_unserved_since_s()))

    def _get_recorded_unserved_since_s(self) -> float:
        """Return since when the phase waits if pending starts are never carried out."""
        return (
            self.previous_unserved_since_s
            if self.is_starting
            else self.unserved_since_s
        )


@dataclass(frozen=True, slots=True)
class DeclaredPaths:
    """The times of a job's paths by the times that its submitter has declared.

    ``whole_s`` is the time of its critical path in seconds, ``rests_s`` that of the
    longest path through the steps that depend on each step, which is left out.
    """

    whole_s: float
    rests_s: tuple[float, ...]


@dataclass(slots=True)
class ActiveJob:
    """Hold one job that has not ended, or whose tasks still have to stop.

    ``firm`` is set if the job is covered by its customer's guarantee. ``given_up`` is
    set if too many workers were lost under one of its tasks. ``yielded_to`` is the job
    of another customer for which its guaranteed tasks were stopped. ``declared_paths``
    is None until it is first needed.

    ``phases`` holds the runs that are open. ``next_run`` is the first one that was not
    opened yet, and ``done_runs`` are those of which nothing else is held any more. A
    job was added at ``added_s``, which was ``added_ms`` in Unix milliseconds.
    """

    job: StagedJob
    submitted_s: float
    added_s: float = 0.0
    added_ms: int = 0
    phases: dict[tuple[int, int], Phase] = field(default_factory=dict)
    next_run: int = 0
    done_runs: RunRanges = RunRanges()
    ended: bool = False
    begun: bool = False
    firm: bool = False
    given_up: bool = False
    yielded_to: str = ""
    declared_paths: DeclaredPaths | None = None

    @property
    def priority(self) -> int:
        """Return the priority, 0 being the highest."""
        return self.job.terms.priority

    @property
    def has_unopened_runs(self) -> bool:
        """Tell whether some runs are not open yet, since they are not due."""
        return self.next_run < self.job.run_count

    @property
    def is_done(self) -> bool:
        """Tell whether every task of every run is done."""
        if self.has_unopened_runs:
            return False
        return all(phase.is_done for phase in self.phases.values())

    @property
    def is_out_of_attempts(self) -> bool:
        """Tell whether a task that isn't long-running has failed too often."""
        return any(
            task.failures >= self.job.terms.max_attempts
            for phase in self.phases.values()
            if not phase.spec.long_running
            for task in phase.tasks
        )

    @property
    def all_first_steps_started(self) -> bool:
        """Tell whether all tasks of the first run's initial steps have begun."""
        if 0 in self.done_runs:
            return True
        if (0, 0) not in self.phases:
            return False
        return all(
            task.has_begun
            for phase in self.get_phases(0)
            if not phase.spec.depends_on
            for task in phase.tasks
        )

    def get_phases(self, run: int) -> list[Phase]:
        """Return the phases of one run in the order of the steps."""
        return [self.phases[(run, step)] for step in range(len(self.job.steps))]

    def get_due_s(self, run: int) -> float:
        """Return the time from which a run may start, in monotonic seconds."""
        return self.added_s + (self.job.get_due_ms(run) - self.added_ms) / 1000

    def count_open_runs(self) -> int:
        """Return how many runs are open and not done."""
        return len(
            {run for (run, _), phase in self.phases.items() if not phase.is_done}
        )

    def list_done_runs(self, before_s: float) -> list[int]:
        """Return the open runs all of whose tasks had ended as done at ``before_s``."""
        left = {
            run
            for (run, _), phase in self.phases.items()
            if not phase.is_done or phase.unserved_since_s > before_s
        }
        return sorted({run for run, _ in self.phases} - left)

    def is_ready(self, phase: Phase, now_s: float) -> bool:
        """Tell whether the phase is due and the steps it depends on are done."""
        if now_s < phase.due_s:
            return False
        run = phase.id.run
        return all(self.phases[(run, step)].is_done for step in phase.spec.depends_on)


def create_phase(
    job: StagedJob,
    run: int,
    step: int,
    due_s: float,
    progress: PhaseProgress | None = None,
) -> Phase:
    """Return a phase with its progress from the log, if there is any."""
    spec = job.steps[step]
    tasks = [
        Task(make_task_name(job.job_id, run, step, index), index)
        for index in range(spec.count)
    ]
    if progress is not None:
        for task, recorded in zip(tasks, progress.tasks, strict=False):
            _restore(task, recorded)
    phase = Phase(PhaseId(job.job_id, run, step), spec, tasks, due_s, due_s, due_s)
    if progress is not None:
        phase.failed_attempt = progress.failed_attempt
    return phase


def _make_task_progress(task: Task) -> TaskProgress:
    return TaskProgress(
        task.attempt,
        task.worker if task.is_on_worker else "",
        task.state is TaskState.DONE,
        task.failures,
        task.checkpoint,
        task.address if task.is_on_worker else "",
        task.lost,
        task.worker_started_ms if task.is_on_worker else 0,
        task.was_seen if task.is_on_worker else False,
        task.done_earlier if task.is_on_worker else False,
    )


def _make_recorded_losses(
    tasks: list[Task], now_s: float, now_ms: int
) -> tuple[RecordedLoss, ...] | msgspec.UnsetType:
    """Return the unsettled losses of tasks; both times are the current time."""
    recorded = [
        RecordedLoss(
            task.index,
            loss.incarnation.worker,
            loss.incarnation.address,
            loss.incarnation.started_ms,
            now_ms - int(1000 * (now_s - loss.lost_s)),
            loss.may_be_crash,
            loss.is_newest,
            loss.is_unseen,
        )
        for task in tasks
        if task.state is not TaskState.DONE
        for loss in task.unsettled
    ]
    return tuple(recorded[:MAX_RECORDED_LOSSES]) or msgspec.UNSET


def restore_loss(loss: RecordedLoss, now_s: float, now_ms: int) -> UnsettledLoss:
    """Return a loss that a former owner recorded; both times are the current time.

    A loss in the future comes from a clock that is ahead, and counts from now.
    """
    return UnsettledLoss(
        LostIncarnation(loss.worker, loss.address, loss.started_ms),
        min(now_s, now_s - (now_ms - loss.lost_ms) / 1000),
        loss.may_be_crash,
        loss.is_newest,
        loss.is_unseen,
    )


def _restore(task: Task, recorded: TaskProgress) -> None:
    task.attempt = recorded.attempt
    task.has_begun = recorded.attempt > 0
    task.failures = recorded.failures
    task.lost = recorded.lost
    task.checkpoint = recorded.checkpoint
    if recorded.done:
        task.state = TaskState.DONE
    elif recorded.worker:
        task.state = TaskState.RUNNING
        task.worker = recorded.worker
        task.address = recorded.address
        task.worker_started_ms = recorded.worker_started_ms
        task.seen_before = recorded.seen
        task.done_earlier = recorded.done_earlier
