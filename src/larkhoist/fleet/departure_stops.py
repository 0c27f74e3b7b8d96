"""Stop tasks in time before their workers leave."""

from larkhoist.fleet.departure import Announced, get_last_end_s
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import Phase, Task, TaskState
from larkhoist.fleet.worker import FleetWorker

__all__ = ["get_next_stop_s", "stop_tasks_in_time"]


def stop_tasks_in_time(state: FleetState, now_s: float) -> None:
    """Stop tasks so that their checkpoints are heard before their workers leave."""
    margin_s = state.policy.departure_margin_s
    for worker in state.workers.values():
        if not isinstance(worker.departure, Announced):
            continue
        last_end_s = get_last_end_s(worker.departure, margin_s)
        due = [
            (phase, task)
            for phase, task in state.list_tasks_on(worker)
            if task.state is not TaskState.STOPPING
            and _is_due(state, phase, task, last_end_s, now_s)
        ]
        if due:
            _stop_tasks(state, worker, due, now_s)


def get_next_stop_s(state: FleetState, now_s: float) -> float:
    """Return when the next stop is due, in monotonic seconds, infinity for none."""
    margin_s = state.policy.departure_margin_s
    ends = (
        get_last_end_s(worker.departure, margin_s)
        for worker in state.workers.values()
        if worker.tasks
    )
    stops = [end_s - state.policy.stop_s for end_s in ends if end_s is not None]
    return min((stop_s for stop_s in stops if stop_s > now_s), default=float("inf"))


def _is_due(
    state: FleetState, phase: Phase, task: Task, last_end_s: float | None, now_s: float
) -> bool:
    """Tell whether a task must be stopped now, or loses nothing by it.

    A task with checkpoints must have stopped by ``last_end_s``, so that its checkpoint
    is heard. If it isn't expected to end before, it continues elsewhere at once.
    """
    if not phase.spec.checkpoints:
        return False
    if last_end_s is None:
        return True
    stop_s = last_end_s - state.policy.stop_s
    return max(now_s, _predict_end_s(state, phase, task)) >= stop_s


def _predict_end_s(state: FleetState, phase: Phase, task: Task) -> float:
    job = state.jobs[phase.id.job_id].job
    expected_s = state.runtimes.predict(job.queue, phase.spec.estimate_ms)
    return task.began_s + expected_s


def _stop_tasks(
    state: FleetState,
    worker: FleetWorker,
    tasks: list[tuple[Phase, Task]],
    now_s: float,
) -> None:
    until_s = worker.departure.serves_until_s
    state.note(
        "departure-stops",
        worker=worker.name,
        tasks=",".join(f"{task.name}@{task.attempt}" for _, task in tasks),
        saves=sum(phase.spec.checkpoints for phase, _ in tasks),
        remaining_s=None if until_s is None else round(until_s - now_s, 3),
        heard_age_s=round(now_s - worker.heard_s, 3),
    )
    for phase, task in tasks:
        state.stop(phase, task, now_s)
