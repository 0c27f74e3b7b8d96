"""Count the workers that were lost while they ran a task, and give up such tasks.

A worker that crashes lists no ends, so its tasks are started again elsewhere. A task
that crashes its workers would repeat this for ever. Therefore each lost worker counts
against the tasks it ran, and more against the one that most likely caused the crash.

A worker whose lease ended may only have been cut off. Its loss counts until it answers
again, which takes the loss back. A task that would be given up for such losses is not
started again until they are settled (``must_wait``).
"""

from dataclasses import replace as replace_fields

from msgspec.structs import replace

from larkhoist.fleet.lost_workers import LostIncarnation, UnsettledLoss
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
    "count_losses",
    "has_given_up_task",
    "is_given_up",
    "must_wait",
    "note_start",
    "settle_as_crash",
    "settle_as_cut_off",
    "set_overdue",
]

MAX_BLAMED_CRASHES = 3
"""A task is given up after this many crashes that it most likely caused. Two would be
permitted, but a task that merely runs beside one that crashes its workers may meet it
twice (see ``APART_WAIT_S``)."""
LATE_START_MIN_LOST = 3
"""Late starts are those of a task that has lost at least this many workers."""
MAX_LATE_STARTS = 2
"""The most starts of a task after the third lost worker, however those starts end.
There must be fewer than three."""
LATE_START_MIN_CRASHES = 2
"""A task with fewer crashes isn't given up for the number of its late starts."""
MAX_LOST_WORKERS = 5
"""A task is given up after this many lost workers of which none has proved that it was
only cut off. The crashes of workers that don't come back may never be known."""
MIN_CONFIRMED_LOST = 2
"""On this many of them the task must have been seen to run, or have been the only one
that had just been started. Other starts that were never answered may not have begun."""
DECISIVE_BLAME_LEAD = 2
"""If a running task is blamed for this many more crashes than a task whose start wasn't
answered, it is taken as the only cause."""
NEWEST_WINDOW_S = 0.5
"""A task that began more than this before the newest one on its worker isn't blamed for
a crash. A start that is answered at its second try takes 0.1 s longer than others."""
DEPARTURE_WINDOW_S = 10.0
"""A task that began longer ago already ran when the worker announced its departure (2 s
before), and was lost by that. A later one may also have crashed the worker. Twice the
sum of an unanswered call, a stop and such a notice."""
STABLE_RUN_S = 60.0
"""A long-running task that has run for this long isn't blamed for a crash, and its
count of lost workers is reset. If it does crash its workers, it costs at most one start
a minute."""


def count_losses(
    tasks: list[tuple[Phase, Task]], worker: FleetWorker, proof: Proof, now_s: float
) -> None:
    """Count a lost worker against the tasks that ran or may have run there.

    If another incarnation took its place, the worker has crashed, and the tasks that
    began last are blamed. Otherwise it may have been cut off. A worker that left isn't
    counted against tasks that began before its departure, and one that announced it
    after it had become silent has not crashed.
    """
    newest_s = max((task.began_s for _, task in tasks), default=now_s)
    newest = [task for _, task in tasks if task.began_s >= newest_s - NEWEST_WINDOW_S]
    most_blamed = max((t.lost.blamed for _, t in tasks if t.seen_running), default=0)
    for phase, task in tasks:
        ran_s = now_s - task.began_s
        if worker.announced_while_silent:
            continue
        has_left = worker.has_left(now_s) or worker.answered_unlisted
        if has_left and ran_s > DEPARTURE_WINDOW_S:
            continue
        if phase.spec.long_running and task.seen_running and ran_s > STABLE_RUN_S:
            task.lost = LostWorkers()
            task.unsettled = ()
            continue
        if _has_other_cause(task, proof, most_blamed):
            continue
        is_unseen = not (task.was_seen or newest == [task])
        match proof:
            case LeaseOver():
                started_ms = worker.incarnation.started_ms
                loss = UnsettledLoss(
                    LostIncarnation(worker.name, worker.address, started_ms),
                    now_s,
                    may_be_crash=_may_have_crashed(worker) and task.seen_running,
                    is_newest=task in newest,
                    is_unseen=is_unseen,
                )
                task.unsettled = (*task.unsettled, loss)
        task.lost = _add_loss(task, worker, proof, task in newest, is_unseen)


def settle_as_crash(task: Task, incarnation: LostIncarnation) -> None:
    """Settle the losses of an incarnation that a later one shows as crashed."""
    for loss in _take_losses(task, incarnation):
        if loss.may_be_crash:
            counted = replace(task.lost, unsure=task.lost.unsure - 1)
            task.lost = _add_crash(counted, loss.is_newest)


def settle_as_cut_off(task: Task, incarnation: LostIncarnation) -> None:
    """Take back the losses of an incarnation that is proved not to have crashed."""
    for loss in _take_losses(task, incarnation):
        task.lost = _remove_unsure(task.lost, loss)
    if task.lost.count < LATE_START_MIN_LOST:
        # Otherwise starts from before the next crashes would count as late ones.
        task.lost = replace(task.lost, late_starts=0)


def set_overdue(task: Task, now_s: float) -> None:
    """Mark the losses for which no proof has come in time."""
    task.unsettled = tuple(
        replace_fields(loss, is_overdue=loss.is_overdue or loss.is_overdue_at(now_s))
        for loss in task.unsettled
    )


def _take_losses(task: Task, incarnation: LostIncarnation) -> list[UnsettledLoss]:
    """Remove and return the unsettled losses of a task with an incarnation."""
    taken = [loss for loss in task.unsettled if loss.incarnation == incarnation]
    task.unsettled = tuple(loss for loss in task.unsettled if loss not in taken)
    return taken


def _remove_unsure(lost: LostWorkers, loss: UnsettledLoss) -> LostWorkers:
    unseen = max(0, lost.unseen - loss.is_unseen)
    return replace(lost, unsure=max(0, lost.unsure - 1), unseen=unseen)


def _may_have_crashed(worker: FleetWorker) -> bool:
    return not (worker.leaving or worker.was_unlisted_before_silent)


def _has_other_cause(task: Task, proof: Proof, most_blamed: int) -> bool:
    """Tell whether another task crashed the worker before it answered the start."""
    if task.seen_running or isinstance(proof, LeaseOver):
        return False
    return most_blamed >= task.lost.blamed + DECISIVE_BLAME_LEAD


def _add_loss(
    task: Task, worker: FleetWorker, proof: Proof, is_newest: bool, is_unseen: bool
) -> LostWorkers:
    lost = task.lost
    match proof:
        case WorkerReplaced() if task.seen_running and not worker.leaving:
            return _add_crash(lost, is_newest)
        case WorkerRestarted(was_leaving) if task.seen_running and not was_leaving:
            return _add_crash(lost, is_newest)
        case WorkerReplaced() | WorkerRestarted() | LeaseOver():
            return replace(lost, unsure=lost.unsure + 1, unseen=lost.unseen + is_unseen)
        case _:
            return lost


def _add_crash(lost: LostWorkers, is_newest: bool) -> LostWorkers:
    return replace(lost, crashes=lost.crashes + 1, blamed=lost.blamed + is_newest)


def note_start(task: Task) -> None:
    """Count a start as late if the task has lost many workers."""
    if task.lost.count >= LATE_START_MIN_LOST:
        task.lost = replace(task.lost, late_starts=task.lost.late_starts + 1)


def is_given_up(task: Task) -> bool:
    """Tell whether a task has lost so many workers that it is not run again.

    Losses that may still be taken back don't count. A task that is done, or of which an
    earlier attempt is, needs no further run.
    """
    lost = task.lost
    for loss in task.unsettled:
        if not loss.is_overdue:
            lost = _remove_unsure(lost, loss)
    return _has_lost_too_many(task, lost)


def must_wait(task: Task) -> bool:
    """Tell whether a task may not start until its unsettled losses are settled.

    It would be given up if these were crashes.
    """
    return not is_given_up(task) and _has_lost_too_many(task, task.lost)


def _has_lost_too_many(task: Task, lost: LostWorkers) -> bool:
    if task.state is TaskState.DONE or task.done_earlier:
        return False
    if lost.blamed >= MAX_BLAMED_CRASHES:
        return True
    if (
        lost.count >= MAX_LOST_WORKERS
        and lost.count - lost.unseen >= MIN_CONFIRMED_LOST
    ):
        return True
    if task.state is not TaskState.WAITING or lost.count < LATE_START_MIN_LOST:
        return False
    has_used_late_starts = lost.late_starts >= MAX_LATE_STARTS
    return has_used_late_starts and lost.crashes >= LATE_START_MIN_CRASHES


def has_given_up_task(active: ActiveJob) -> bool:
    """Tell whether one of a job's tasks is given up."""
    phases = active.phases.values()
    return any(is_given_up(task) for phase in phases for task in phase.tasks)
