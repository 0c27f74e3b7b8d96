"""Learn the speeds of workers from the times of tasks.

The total time of a running task is estimated as the time since its start divided by the
share that is done. Only attempts are measured that this owner started from the
beginning and near their data: a resumed attempt has less work than its peers, and a
task that is far from its data, or a gang spread over racks, takes three times as long.
"""

from larkhoist.fleet.speeds import StepSize, create_step_size
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import Phase, Task, TaskState
from larkhoist.fleet.worker import FleetWorker

__all__ = ["learn_from_end", "learn_from_percent"]

MIN_PERCENT = 20
"""Below this, the rounding of the percentage exceeds 5 % of it."""
START_ERROR_S = 0.03
"""Error of the time since the start: the delay of answers and a step of the owner."""
RATE_ERROR = 0.03
"""Relative error of the rates of equal tasks on equally fast workers."""
PERCENT_ERROR = 0.5
"""Error of a percentage that is a whole number."""


def learn_from_percent(
    state: FleetState,
    worker: FleetWorker,
    phase: Phase,
    task: Task,
    percent: float | None,
    now_s: float,
) -> None:
    """Update a worker's speed, once for each attempt, from a task's progress."""
    if not task.is_timed or percent is None or not MIN_PERCENT <= percent < 100:
        # A member of a gang that is done shows 100 while it waits for the others.
        return
    if task.state is not TaskState.RUNNING or phase.spec.long_running:
        # A long-running task has no amount of work to which its declared time applies.
        return
    task.is_timed = False
    if _is_far(state, worker, phase):
        return
    elapsed_s = now_s - _get_began_s(phase, task)
    if elapsed_s <= START_ERROR_S:
        return
    variance = RATE_ERROR**2 + (START_ERROR_S / elapsed_s) ** 2
    variance += (PERCENT_ERROR / percent) ** 2
    size = _get_size(state, phase, task)
    total_s = 100 * elapsed_s / percent
    state.speeds.note_progress(worker.name, size, total_s, variance)


def learn_from_end(
    state: FleetState, worker: FleetWorker, phase: Phase, task: Task, now_s: float
) -> None:
    """Update a worker's speed from an independent task that is done.

    The end of a gang tells only about its slowest member. A task whose progress was
    measured is not measured again: its size would count twice.
    """
    if not task.is_timed or phase.spec.gang:
        return
    task.is_timed = False
    took_s = now_s - task.began_s
    if took_s <= START_ERROR_S or _is_far(state, worker, phase):
        return
    variance = RATE_ERROR**2 + (START_ERROR_S / took_s) ** 2
    size = _get_size(state, phase, task)
    state.speeds.note_progress(worker.name, size, took_s, variance)


def _get_began_s(phase: Phase, task: Task) -> float:
    """Return when a task began to work: a gang waits for its last member."""
    if not phase.spec.gang:
        return task.began_s
    return max(member.began_s for member in phase.tasks)


def _is_far(state: FleetState, worker: FleetWorker, phase: Phase) -> bool:
    spec = phase.spec
    if not (spec.data_rack or spec.gang and spec.same_rack):
        return False
    if not spec.gang:
        return worker.rack != spec.data_rack
    workers = [state.workers.get(member.worker) for member in phase.tasks]
    racks = {other.rack if other else "" for other in workers}
    if spec.data_rack:
        return racks != {spec.data_rack}
    return len(racks) > 1


def _get_size(state: FleetState, phase: Phase, task: Task) -> StepSize:
    """Return the size of a step, which is measured anew for each attempt of a gang.

    The workers that run a gang may be others, or have changed, since a former attempt.
    """
    attempt = task.attempt if phase.spec.gang else 0
    if phase.size is None or phase.size_attempt != attempt:
        queue = state.jobs[phase.id.job_id].job.queue
        phase.size_attempt = attempt
        phase.size = create_step_size(
            state.speeds, queue, phase.spec.estimate_ms, equal_tasks=phase.spec.gang
        )
    return phase.size
