"""Find the tasks that may be stopped to make room for more urgent ones."""

from collections.abc import Iterator
from dataclasses import dataclass

from larkhoist.fleet.availability import list_stoppable
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import ActiveJob, Phase, Task, TaskState

__all__ = ["Victim", "iter_victims"]


@dataclass(frozen=True, slots=True, eq=False)
class Victim:
    """Tasks that are stopped together.

    ``cost`` is the work that a stop loses, in core-seconds; ``priority`` is that of
    their job.
    """

    phase: Phase
    tasks: tuple[Task, ...]
    cost: float
    priority: int

    @property
    def workers(self) -> set[str]:
        """Return the workers that the tasks run on."""
        return {task.worker for task in self.tasks}


def iter_victims(
    state: FleetState,
    now_s: float,
    preempting_job: ActiveJob | None = None,
    *,
    long_running: bool = False,
) -> Iterator[Victim]:
    """Yield all possible victims: single tasks, or gangs as a whole.

    A guaranteed job is included only if ``preempting_job`` is given and belongs to
    another customer, and once all tasks of its first steps have started. It may be
    stopped for only one other job. With ``long_running``, long-running tasks that use
    borrowed room are included, as far as they may be away.
    """
    for active, phase in state.iter_phases():
        if active.ended:
            continue
        if phase.spec.long_running and (active.firm or not long_running):
            continue
        if active.firm and not _may_yield(active, preempting_job):
            continue
        running = [
            task
            for task in phase.tasks
            if task.state in (TaskState.STARTING, TaskState.RUNNING)
        ]
        running = list_stoppable(phase, running)
        if not running:
            continue
        lateness = _get_lateness_cost(state, active, phase)
        for unit in [running] if phase.spec.gang else [[task] for task in running]:
            cost = phase.get_cost(unit, now_s, state.policy.restore_s) + lateness
            yield Victim(phase, tuple(unit), cost, active.priority)


def _may_yield(active: ActiveJob, claimant: ActiveJob | None) -> bool:
    """Tell whether a guaranteed job may be stopped for one of another customer."""
    if claimant is None or active.job.customer == claimant.job.customer:
        return False
    if active.yielded_to not in ("", claimant.job.job_id):
        return False
    return active.all_first_steps_started


def _get_lateness_cost(state: FleetState, active: ActiveJob, phase: Phase) -> float:
    """Return the cost of making an urgent job late by a stop, in core-seconds."""
    if active.priority != 0:
        return 0.0
    return state.policy.timely_work_ratio * phase.work_core_s
