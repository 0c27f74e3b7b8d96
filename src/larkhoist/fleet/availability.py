"""Limit how many tasks of a long-running step the owner may have stopped at once."""

from larkhoist.fleet.task import Phase, Task, TaskState

__all__ = ["is_limited", "list_stoppable"]


def is_limited(phase: Phase) -> bool:
    """Tell whether only some tasks of a phase may be away at a time."""
    return phase.spec.long_running and phase.spec.max_away > 0


def list_stoppable(phase: Phase, tasks: list[Task]) -> list[Task]:
    """Return those of ``tasks`` that may be stopped at once, the latest starts first.

    A task that has not been seen running, or that stops, counts as away. A gang is
    stopped as a whole, so a limited one may only be stopped if all of it may be away.
    """
    if not is_limited(phase):
        return tasks
    at_work = [task for task in phase.tasks if _is_at_work(task)]
    left = max(0, phase.spec.max_away - (len(phase.tasks) - len(at_work)))
    if phase.spec.gang:
        return tasks if len(at_work) <= left else []
    idle = [task for task in tasks if not _is_at_work(task)]
    running = [task for task in tasks if _is_at_work(task)]
    running.sort(key=lambda task: -task.began_s)
    return idle + running[:left]


def _is_at_work(task: Task) -> bool:
    return task.state is TaskState.RUNNING and task.was_seen
