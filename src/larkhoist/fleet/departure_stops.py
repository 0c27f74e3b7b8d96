"""Stop tasks in time before their workers leave."""

from collections import Counter

from larkhoist.fleet.departure import Announced, get_last_end_s
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import Phase, Task, TaskState
from larkhoist.fleet.worker import FleetWorker

__all__ = ["ORDER_S", "stop_tasks_in_time"]

ORDER_S = 0.001
"""Processor time of the owner for one order; many workers may leave at once."""


def stop_tasks_in_time(state: FleetState, now_s: float) -> float:
    """Stop the tasks whose ends might not be heard before their workers leave.

    Return when the next stop is due, in monotonic seconds, infinity if none is.
    """
    leaving = [
        worker
        for worker in state.workers.values()
        if worker.tasks and isinstance(worker.departure, Announced)
    ]
    orders = _count_orders(leaving)
    next_s = float("inf")
    for worker in leaving:
        margin_s = state.policy.departure_margin_s
        margin_s += ORDER_S * _get_orders_beside(worker, orders)
        last_end_s = get_last_end_s(worker.departure, margin_s)
        due = []
        for phase, task in state.list_tasks_on(worker):
            if task.state is TaskState.STOPPING:
                continue
            stop_s = _get_stop_s(state, phase, task, last_end_s)
            if now_s >= stop_s:
                due.append((phase, task))
            else:
                next_s = min(next_s, stop_s)
        if due:
            _stop_tasks(state, worker, due, now_s)
    return next_s


def _count_orders(leaving: list[FleetWorker]) -> Counter[int]:
    """Return the number of tasks on leaving workers by the second of departure."""
    orders: Counter[int] = Counter()
    for worker in leaving:
        until_s = worker.departure.serves_until_s
        if until_s is not None and not worker.silent:
            orders[int(until_s)] += len(worker.tasks)
    return orders


def _get_orders_beside(worker: FleetWorker, orders: Counter[int]) -> int:
    """Return how many orders may be due shortly before or with those of a worker."""
    until_s = worker.departure.serves_until_s
    if until_s is None:
        return 0
    return orders[int(until_s)] + orders[int(until_s) - 1]


def _get_stop_s(
    state: FleetState, phase: Phase, task: Task, last_end_s: float | None
) -> float:
    """Return when a task must be stopped, minus infinity for at once.

    A task with checkpoints must have stopped by ``last_end_s``, so that its checkpoint
    is heard. If it isn't expected to end before, it continues elsewhere at once. Any
    other task runs until then: once stopped, it can't end by itself any more.
    """
    if not phase.spec.checkpoints:
        return float("inf") if last_end_s is None else last_end_s
    if last_end_s is None:
        return float("-inf")
    stop_s = last_end_s - state.policy.stop_s
    is_late = _predict_end_s(state, phase, task) >= stop_s
    return float("-inf") if is_late else stop_s


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
