"""Hold the tasks of one step of one run, and the job they belong to."""

from dataclasses import dataclass, field
from enum import Enum

from larkhoist.fleet.waits import WaitReason
from larkhoist.jobs.records import LostWorkers, PhaseId, PhaseProgress, TaskProgress
from larkhoist.jobs.spec import StagedJob, StepSpec, make_task_name
from larkhoist.ports.fleet import Resources

__all__ = ["ActiveJob", "Phase", "Task", "TaskState", "create_phase"]

CORES_PER_ACCELERATOR = 8
"""How many cores one accelerator counts for in work; from the users' prices."""


class TaskState(Enum):
    """Name what is known of a task.

    ``STARTING`` to ``STOPPING`` take room on a worker, since the task may run.
    """

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


ON_WORKER = (TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING)


@dataclass(slots=True)
class Task:
    """Hold one task; times are steady seconds.

    From ``settled_s`` on no order given before can begin the attempt any more, so
    that a report asked for later tells for certain whether it runs. ``seen_running``
    tells that the worker itself has said that the attempt runs, to this owner,
    ``seen_before`` that it has said so to a former one.
    ``has_begun`` tells that any attempt has run; another owner takes each for begun.
    ``lost`` counts the workers that were lost under it. ``worker_started_ms`` is the
    start time of the worker incarnation that the attempt was assigned to, 0 if unknown.
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
    lost: LostWorkers = LostWorkers()

    @property
    def is_on_worker(self) -> bool:
        """Tell whether the task may run somewhere."""
        return self.state in ON_WORKER

    @property
    def was_seen(self) -> bool:
        """Tell whether any owner has seen the attempt run."""
        return self.seen_running or self.seen_before

    def note_running(self) -> None:
        """Note that the worker has said that the attempt runs."""
        self.seen_running = True
        self.has_begun = True

    def get_unsaved_s(self, now_s: float) -> float:
        """Return how much work would be lost by a stop, in seconds."""
        if self.state is not TaskState.RUNNING:
            return 0.0
        return max(0.0, now_s - max(self.began_s, self.saved_s))


@dataclass(slots=True)
class PeerTimes:
    """Hold the mean time of the tasks of a step that are done, in seconds."""

    count: int = 0
    mean_s: float = 0.0

    def note(self, took_s: float) -> None:
        """Take the time of one more task."""
        self.count += 1
        self.mean_s += (took_s - self.mean_s) / self.count


@dataclass(slots=True)
class Phase:
    """Hold one step of one run; a gang that is ``closing`` waits for its members.

    ``failed_attempt`` is the last attempt of a gang whose failure was counted.

    ``plan`` holds the workers whose room is kept while others stop there,
    ``wait_reasons`` what was logged of why the phase waits. Until ``claim_again_s`` it
    looks for no victims. ``peers`` holds how long its tasks took.

    While tasks wait, ``unserved_since_s`` is since when none has started; neither a
    failure nor a stop of others begins it anew, nor a start that was refused, for which
    ``unserved_before_s`` keeps what it was, nor another owner. Once all are done it is
    when. ``known_since_s`` is since when this owner knows the phase, ``noted_s`` when a
    wait was last logged.
    """

    id: PhaseId
    spec: StepSpec
    tasks: list[Task]
    due_s: float
    waiting_since_s: float = 0.0
    unserved_since_s: float = 0.0
    unserved_before_s: float = 0.0
    known_since_s: float = float("-inf")
    closing: bool = False
    failed_attempt: int = 0
    plan: dict[int, str] = field(default_factory=dict)
    wait_reasons: set[WaitReason] = field(default_factory=set)
    noted_s: float = float("-inf")
    claim_again_s: float = float("-inf")
    peers: PeerTimes = field(default_factory=PeerTimes)
    need: Resources = field(init=False)

    def __post_init__(self):
        self.need = self.spec.need

    @property
    def is_done(self) -> bool:
        """Tell whether every task has ended as done."""
        return all(task.state is TaskState.DONE for task in self.tasks)

    @property
    def is_off_workers(self) -> bool:
        """Tell whether no task may run anywhere."""
        return not any(task.is_on_worker for task in self.tasks)

    @property
    def has_waiting(self) -> bool:
        """Tell whether a task waits, be the phase closing or not."""
        return any(task.state is TaskState.WAITING for task in self.tasks)

    @property
    def is_starting(self) -> bool:
        """Tell whether starts of tasks are on their way."""
        return any(task.state is TaskState.STARTING for task in self.tasks)

    def get_waiting(self) -> list[Task]:
        """Return the tasks that could be started."""
        if self.closing:
            return []
        waiting = [task for task in self.tasks if task.state is TaskState.WAITING]
        if self.spec.long_running:
            # Others that end again and again must not come first each time.
            waiting.sort(key=lambda task: task.attempt)
        return waiting

    def count_taken(self) -> dict[str, int]:
        """Return how many tasks may run on each worker, for the spread limit."""
        taken: dict[str, int] = {}
        if not self.spec.spread_limit:
            return taken
        for task in self.tasks:
            if task.is_on_worker:
                taken[task.worker] = taken.get(task.worker, 0) + 1
        return taken

    @property
    def cores(self) -> float:
        """Return what one task takes, an accelerator counted as several cores."""
        return (
            self.spec.cpu_milli / 1000 + CORES_PER_ACCELERATOR * self.spec.accelerators
        )

    @property
    def work_core_s(self) -> float:
        """Return the declared work of all tasks, in core-seconds."""
        return self.cores * self.spec.estimate_ms / 1000 * len(self.tasks)

    def get_cost(self, tasks: list[Task], now_s: float, restore_s: float) -> float:
        """Return what stopping ``tasks`` throws away, in core-seconds."""
        lost_s = [task.get_unsaved_s(now_s) for task in tasks]
        if self.spec.checkpoints:
            lost_s = [min(one, restore_s) for one in lost_s]
        return self.cores * sum(lost_s)

    def make_progress(self, now_s: float, now_ms: int) -> PhaseProgress:
        """Return what the log must keep; both times are the present one."""
        return PhaseProgress(
            self.id,
            tuple(
                TaskProgress(
                    task.attempt,
                    task.worker if task.is_on_worker else "",
                    task.state is TaskState.DONE,
                    task.failures,
                    task.checkpoint,
                    task.address if task.is_on_worker else "",
                    task.lost,
                    task.worker_started_ms if task.is_on_worker else 0,
                    task.was_seen if task.is_on_worker else False,
                )
                for task in self.tasks
            ),
            self.failed_attempt,
            now_ms - int(1000 * (now_s - self._get_handed_on_since_s())),
        )

    def _get_handed_on_since_s(self) -> float:
        """Return since when the phase waits if starts on their way never act."""
        return self.unserved_before_s if self.is_starting else self.unserved_since_s


@dataclass(slots=True)
class ActiveJob:
    """Hold one job that has not ended, or whose tasks still have to stop.

    ``given_up`` tells that too many workers were lost under one of its tasks,
    ``yielded_to`` for which other customer's job its guaranteed work was stopped.
    """

    job: StagedJob
    submitted_s: float
    phases: dict[tuple[int, int], Phase] = field(default_factory=dict)
    ended: bool = False
    begun: bool = False
    firm: bool = False
    given_up: bool = False
    yielded_to: str = ""

    @property
    def priority(self) -> int:
        """Return the priority, 0 being the most urgent."""
        return self.job.terms.priority

    @property
    def is_out_of_attempts(self) -> bool:
        """Tell whether a task that must end has failed as often as it may."""
        return any(
            task.failures >= self.job.terms.max_attempts
            for phase in self.phases.values()
            if not phase.spec.long_running
            for task in phase.tasks
        )

    @property
    def has_begun_whole(self) -> bool:
        """Tell whether all tasks of the first run's first steps have begun."""
        return all(
            task.has_begun
            for phase in self.get_phases(0)
            if not phase.spec.depends_on
            for task in phase.tasks
        )

    def get_phases(self, run: int) -> list[Phase]:
        """Return the phases of one run in the order of the steps."""
        return [self.phases[(run, step)] for step in range(len(self.job.steps))]

    def is_ready(self, phase: Phase, now_s: float) -> bool:
        """Tell whether the phase's turn has come."""
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
    """Return a phase as the log has it; nothing is known of it without progress."""
    spec = job.steps[step]
    tasks = [
        Task(make_task_name(job.job_id, run, step, index), index)
        for index in range(spec.count)
    ]
    if progress is not None:
        for task, kept in zip(tasks, progress.tasks, strict=False):
            _restore(task, kept)
    phase = Phase(PhaseId(job.job_id, run, step), spec, tasks, due_s, due_s, due_s)
    if progress is not None:
        phase.failed_attempt = progress.failed_attempt
    return phase


def _restore(task: Task, kept: TaskProgress) -> None:
    task.attempt = kept.attempt
    task.has_begun = kept.attempt > 0
    task.failures = kept.failures
    task.lost = kept.lost
    task.checkpoint = kept.checkpoint
    if kept.done:
        task.state = TaskState.DONE
    elif kept.worker:
        task.state = TaskState.RUNNING
        task.worker = kept.worker
        task.address = kept.address
        task.worker_started_ms = kept.worker_started_ms
        task.seen_before = kept.seen
