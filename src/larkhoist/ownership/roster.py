"""Bring a scheduler's workers in line with the list and with the leases."""

from collections.abc import Mapping
from dataclasses import dataclass

from larkhoist.ownership.tenure import Tenure
from larkhoist.scheduling.effect import Effect
from larkhoist.scheduling.hall import HallScheduler

__all__ = ["ListedWorker", "match_workers", "recover_jobs"]


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """Hold what the platform's list says of a worker."""

    rack: str
    accelerators: int
    leaving: bool = False


def match_workers(
    scheduler: HallScheduler,
    tenure: Tenure,
    listed: Mapping[str, ListedWorker],
    now_s: float,
) -> None:
    """Add, remove and open workers as the list and the tenure say.

    A worker that has left the list may still run tasks: until it must have
    stopped them, its members count as running.
    """
    known = scheduler.accelerators.workers
    for name in known.keys() - listed.keys():
        scheduler.set_usable(name, False)
        if tenure.is_surely_idle(name, now_s):
            scheduler.remove_worker(name)
    for name, worker in listed.items():
        if name not in known:
            scheduler.add_worker(name, worker.rack, worker.accelerators)
        held = tenure.holds(name, now_s)
        scheduler.set_usable(name, held and not worker.leaving)
        if not held and tenure.is_surely_idle(name, now_s):
            scheduler.note_idle(name)


def recover_jobs(
    scheduler: HallScheduler, tenure: Tenure, log_current: bool, now_s: float
) -> list[Effect]:
    """Take over what runs once every worker has reported or must be idle.

    A worker is held only by an answer to this tenure, which brings its report.
    """
    if not scheduler.has_recovering() or not tenure.is_settled(now_s):
        return []
    return scheduler.recover(
        tenure.get_reports(),
        log_current,
        lambda name: tenure.is_known(name, now_s),
        now_s,
    )
