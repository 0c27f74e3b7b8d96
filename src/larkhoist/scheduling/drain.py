"""Reserve the workers that are expected to clear first for a long-waiting gang."""

from collections.abc import Callable, Iterable, Mapping

from larkhoist.log.objects import JobSpec
from larkhoist.placement.blocks import get_level
from larkhoist.scheduling.accelerators import Accelerators
from larkhoist.scheduling.hall_job import HallJob, JobPhase, Reservation

__all__ = ["choose_reservation", "predict_clear_times"]


def predict_clear_times(
    jobs: Iterable[HallJob], predict_run_time: Callable[[JobSpec], float], now_s: float
) -> dict[str, float]:
    """Return, by worker, the expected end of all work on it.

    ``predict_run_time`` returns the run time of a job in seconds.
    """
    clear: dict[str, float] = {}
    for job in jobs:
        if job.phase is not JobPhase.ACTIVE:
            continue
        began_s = job.current.started_s or now_s
        end_s = max(now_s, began_s + predict_run_time(job.spec))
        for member in job.current.members:
            name = member.place.worker
            clear[name] = max(clear.get(name, now_s), end_s)
    return clear


def choose_reservation(
    accelerators: Accelerators,
    spec: JobSpec,
    clear_times: Mapping[str, float],
    may_reserve: Callable[[str], bool],
    now_s: float,
) -> Reservation | None:
    """Return the workers expected to clear first, or None if too few are suitable.

    ``clear_times`` holds the expected end of work by worker; a worker without an entry
    is clear now.
    """
    if spec.adjacency == "hall" and spec.members > 1:
        groups = [list(accelerators.workers)]
    else:
        firm = accelerators.firm
        groups = [firm.get_rack_workers(rack) for rack in firm.iter_racks()]
    best: Reservation | None = None
    for names in groups:
        found = _choose_in_group(
            accelerators, spec, names, clear_times, may_reserve, now_s
        )
        if found is not None and (best is None or found.ready_s < best.ready_s):
            best = found
    return best


def _choose_in_group(
    accelerators, spec, names, clear_times, may_reserve, now_s
) -> Reservation | None:
    candidates = sorted(
        (clear_times.get(name, now_s), name)
        for name in names
        if accelerators.workers[name].usable and may_reserve(name)
    )
    chosen: list[str] = []
    needed = 1 if spec.adjacency == "worker" else spec.members
    block = spec.total if spec.adjacency == "worker" else spec.accelerators
    ready_s = now_s
    for clear_s, name in candidates:
        if needed <= 0:
            break
        capacity = accelerators.workers[name].size >> get_level(block)
        if capacity == 0:
            continue
        chosen.append(name)
        needed -= capacity
        ready_s = max(ready_s, clear_s)
    if needed > 0:
        return None
    return Reservation(tuple(chosen), now_s, ready_s)
