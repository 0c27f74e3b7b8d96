"""Count the workers that were lost under a task, and tell when it is given up.

A worker that crashes lists no end of what it ran, so that its tasks are started again
elsewhere. Work that itself crashes each worker would go on so for ever. Every worker
that is lost under a task counts against that task, most where it is the likely cause.
"""

from msgspec.structs import replace

from larkhoist.fleet.late_crashes import LostRun
from larkhoist.fleet.proofs import (
    LeaseOver,
    Proof,
    WorkerReplaced,
    WorkerRestarted,
)
from larkhoist.fleet.task import ActiveJob, Phase, Task, TaskState
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.records import LostWorkers

__all__ = [
    "count_late_crash",
    "count_losses",
    "has_given_up_task",
    "is_given_up",
    "note_start",
]

MOST_BLAMED = 3
"""So many crashes that a task most likely caused end it. The users allow two to do; but
what merely ran beside such a task may well meet it twice (``APART_WAIT_S``)."""
MANY_LOST = 3
"""From so many lost workers on, the starts of a task are counted."""
MOST_LATE_STARTS = 2
"""How often a task is started at the most after the third lost worker, however those
starts end; the users allow less than three."""
LEAST_CRASHES = 2
"""Without so many crashes a task is not given up for the number of its late starts."""
MOST_LOST = 5
"""So many lost workers end a task. Work that meets five cut-off workers in its life is
rarer than workers that come back only after their lease, of whose crash nothing ever
tells."""
LEAST_KNOWN = 2
"""Under so many of them the task was seen to run, or was the only one that had just
been started: other starts that were never answered may not have begun."""
SURELY_BLAMED = 2
"""What is blamed for so many more crashes caused this one as well."""
NEWEST_S = 0.5
"""What began on a worker so long before the newest task there is not blamed for its
crash; a start that is answered at its second try takes 0.1 s more than others."""
LEAVING_S = 10.0
"""What began longer ago was there when its worker said that it leaves (2 s before) and
is lost by that; what began later may as well have crashed it. Twice a silent call, a
stop and such a notice."""
STEADY_S = 60.0
"""Work that lasts and has run for so long did not crash its worker; a guess, so that
it costs one start a minute at the most."""


def count_losses(
    tasks: list[tuple[Phase, Task]], worker: FleetWorker, proof: Proof, now_s: float
) -> list[LostRun]:
    """Count a worker that was lost against the tasks that ran or may have run there.

    It has crashed where another life took its place, most likely by what began last;
    else it may have been cut off. One that left as it had said, with work from before,
    counts for nothing.

    Returns what was seen to run and may have crashed it.
    """
    newest_s = max((task.began_s for _, task in tasks), default=now_s)
    newest = [task for _, task in tasks if task.began_s >= newest_s - NEWEST_S]
    most_blamed = max((t.lost.blamed for _, t in tasks if t.seen_running), default=0)
    counted = []
    for phase, task in tasks:
        ran_s = now_s - task.began_s
        if worker.has_left(now_s) and ran_s > LEAVING_S:
            continue
        if phase.spec.long_running and task.seen_running and ran_s > STEADY_S:
            task.lost = LostWorkers()
            continue
        if _has_other_cause(task, proof, most_blamed):
            continue
        is_known = task.was_seen or newest == [task]
        counted.append((task, _add_loss(task, worker, proof, task in newest, is_known)))
    for task, lost in counted:
        task.lost = lost
    if worker.leaving:
        return []
    seen = [task for task, _ in counted if task.seen_running]
    return [LostRun(task.name, task in newest) for task in seen]


def count_late_crash(task: Task, run: LostRun) -> None:
    """Count a lost worker as crashed that counted as perhaps cut off."""
    lost = task.lost
    if lost.unsure > lost.unseen:
        task.lost = _add_crash(replace(lost, unsure=lost.unsure - 1), run.is_newest)


def _has_other_cause(task: Task, proof: Proof, most_blamed: int) -> bool:
    """Tell whether a crash took a start before its answer, by what else ran there."""
    if task.seen_running or isinstance(proof, LeaseOver):
        return False
    return most_blamed >= task.lost.blamed + SURELY_BLAMED


def _add_loss(
    task: Task, worker: FleetWorker, proof: Proof, is_newest: bool, is_known: bool
) -> LostWorkers:
    lost = task.lost
    match proof:
        case WorkerReplaced() if task.seen_running and not worker.leaving:
            return _add_crash(lost, is_newest)
        case WorkerRestarted(was_leaving) if task.seen_running and not was_leaving:
            return _add_crash(lost, is_newest)
        case WorkerReplaced() | WorkerRestarted() | LeaseOver():
            unseen = lost.unseen + (not is_known)
            return replace(lost, unsure=lost.unsure + 1, unseen=unseen)
        case _:
            return lost


def _add_crash(lost: LostWorkers, is_newest: bool) -> LostWorkers:
    return replace(lost, crashes=lost.crashes + 1, blamed=lost.blamed + is_newest)


def note_start(task: Task) -> None:
    """Count the start of a task under which many workers were lost."""
    if task.lost.count >= MANY_LOST:
        task.lost = replace(task.lost, late_starts=task.lost.late_starts + 1)


def is_given_up(task: Task) -> bool:
    """Tell whether so many workers were lost under a task that it is not run again."""
    lost = task.lost
    if lost.blamed >= MOST_BLAMED:
        return True
    if lost.count >= MOST_LOST and lost.count - lost.unseen >= LEAST_KNOWN:
        return True
    off_workers = task.state is TaskState.WAITING
    used_up = lost.late_starts >= MOST_LATE_STARTS
    return off_workers and used_up and lost.crashes >= LEAST_CRASHES


def has_given_up_task(active: ActiveJob) -> bool:
    """Tell whether one of a job's tasks is not run again."""
    phases = active.phases.values()
    return any(is_given_up(task) for phase in phases for task in phase.tasks)
