"""Update a scheduler's workers from the platform's list and the leases."""

from collections.abc import Mapping
from dataclasses import dataclass

from larkhoist.ownership.tenure import Tenure
from larkhoist.scheduling.effect import Effect
from larkhoist.scheduling.hall import HallScheduler

__all__ = ["ListedWorker", "match_workers", "recover_jobs"]


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """The entry of a worker in the platform's list."""

    rack: str
    accelerators: int
    leaving: bool = False


def match_workers(
    scheduler: HallScheduler,
    tenure: Tenure,
    listed: Mapping[str, ListedWorker],
    now_s: float,
) -> None:
    """Add, remove, enable and disable workers to match the list and the leases.

    A worker that has left the list may still run tasks. It is removed only when it must
    have stopped them; until then the members on it count as running.
    """
    known = scheduler.accelerators.workers
    for name in known.keys() - listed.keys():
        scheduler.set_usable(name, False)
        if tenure.must_be_idle(name, now_s):
            scheduler.remove_worker(name)
    for name, worker in listed.items():
        if name not in known:
            scheduler.add_worker(name, worker.rack, worker.accelerators)
        held = tenure.holds(name, now_s)
        scheduler.set_usable(name, held and not worker.leaving)
        if not held and tenure.must_be_idle(name, now_s):
            scheduler.note_idle(name)


def recover_jobs(
    scheduler: HallScheduler, tenure: Tenure, log_current: bool, now_s: float
) -> list[Effect]:
    """Take over running jobs once every worker has reported or must be idle.

    A lease is granted in an answer that also holds the worker's report, so every
    worker whose lease is held has reported in this tenure.
    """
    if not scheduler.has_recovering() or not tenure.is_settled(now_s):
        return []
    return scheduler.recover(
        tenure.get_reports(),
        log_current,
        lambda name: tenure.is_known(name, now_s),
        now_s,
    )
