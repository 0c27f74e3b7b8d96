"""Find workers with free room for the tasks of one phase.

Tasks go where the least room is left over, so that whole workers and racks stay
free for those that need them.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import Resources

__all__ = ["count_capacity", "find_places", "group_workers", "list_eligible"]

GetFree = Callable[[FleetWorker], Resources]
GetPace = Callable[[FleetWorker], int]


def list_eligible(
    workers: Iterable[FleetWorker], service: str, spec: StepSpec
) -> list[FleetWorker]:
    """Return those of the usable workers that may run the step at all."""
    need = spec.need
    return [
        worker
        for worker in workers
        if worker.service == service
        and (not spec.label or spec.label in worker.labels)
        and worker.capacity.count_fitting(need) > 0
    ]


def group_workers(
    workers: list[FleetWorker], spec: StepSpec, count: int
) -> list[list[FleetWorker]]:
    """Return the sets of workers that the step should run on, each on its own.

    Data elsewhere and a gang on several racks make the step several times as
    slow, so that it waits for a rack as long as one could hold it when empty.
    """
    near = [worker for worker in workers if worker.rack == spec.data_rack]
    if spec.data_rack and count_capacity(near, spec) >= (count if spec.gang else 1):
        return [near]
    if not spec.same_rack:
        return [workers]
    racks: dict[str, list[FleetWorker]] = defaultdict(list)
    for worker in workers:
        racks[worker.rack].append(worker)
    groups = [g for g in racks.values() if count_capacity(g, spec) >= count]
    return groups or [workers]


def find_places(
    groups: list[list[FleetWorker]],
    spec: StepSpec,
    count: int,
    taken: dict[str, int],
    get_free: GetFree,
    get_pace: GetPace | None = None,
) -> list[str]:
    """Return workers for up to ``count`` tasks; all of them or none for a gang.

    With ``get_pace``, of several groups those of a lower pace go first.

    ``taken`` counts the tasks of the phase that are on a worker already.
    """
    best: list[str] = []
    best_key = (0, 0, 0)
    for group in groups:
        places, left = _fill(group, spec, count, taken, get_free)
        if spec.gang and len(places) < count:
            continue
        pace = get_pace(group[0]) if get_pace is not None and group else 0
        key = (-len(places), pace, left)
        if places and (not best or key < best_key):
            best, best_key = places, key
    return best


def _fill(group, spec, count, taken, get_free) -> tuple[list[str], int]:
    rooms = []
    need = spec.need
    for worker in group:
        free = get_free(worker)
        fitting = free.count_fitting(need)
        if spec.spread_limit:
            fitting = min(fitting, spec.spread_limit - taken.get(worker.name, 0))
        if fitting > 0:
            rooms.append((free.accelerators, free.cpu_milli, worker.name, fitting))
    rooms.sort()
    places: list[str] = []
    for _, _, name, fitting in rooms:
        places += [name] * min(fitting, count - len(places))
        if len(places) == count:
            break
    left = sum(room[0] for room in rooms) - len(places) * spec.accelerators
    return places, left


def count_capacity(workers: list[FleetWorker], spec: StepSpec) -> int:
    """Return how many tasks of a step the workers could hold when empty."""
    total = 0
    need = spec.need
    for worker in workers:
        fitting = worker.capacity.count_fitting(need)
        if spec.spread_limit:
            fitting = min(fitting, spec.spread_limit)
        total += fitting
    return total
