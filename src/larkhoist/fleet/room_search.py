"""Find workers with free room for the tasks of one phase.

Tasks go where the least room is left over (best fit), so that whole workers and racks
stay free for tasks that need them.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import Resources

__all__ = [
    "WorkerGroup",
    "WorkerGroups",
    "count_capacity",
    "count_fitting",
    "find_places",
    "list_eligible",
]

GetFree = Callable[[FleetWorker], Resources]
GetSortKey = Callable[[FleetWorker], int]


def list_eligible(
    workers: Iterable[FleetWorker], service: str, spec: StepSpec
) -> list[FleetWorker]:
    """Return the workers that could run a task of the step when empty."""
    need = spec.need
    return [
        worker
        for worker in workers
        if worker.service == service
        and (not spec.label or spec.label in worker.labels)
        and worker.capacity.count_fitting(need) > 0
    ]


@dataclass(eq=False, slots=True)
class WorkerGroup:
    """Workers that a step may run on together; compared by identity."""

    workers: list[FleetWorker]


class WorkerGroups:
    """The workers that may run a step, also by rack, for one need and one pass."""

    def __init__(self, workers: list[FleetWorker]):
        self.whole = WorkerGroup(workers)
        self._racks: dict[str, WorkerGroup] | None = None
        self._capacities: dict[WorkerGroup, int] = {}

    def list_groups(self, spec: StepSpec, count: int) -> list[WorkerGroup]:
        """Return the groups of workers in which to search for room for the step.

        Remote data, or a gang spread over several racks, makes a step several times
        slower. The step therefore waits for its rack, or for a single rack, as long as
        there is one that could hold it when empty.
        """
        if spec.data_rack:
            near = self._get_racks().get(spec.data_rack)
            wanted = count if spec.gang else 1
            if near is not None and self._get_capacity(near, spec) >= wanted:
                return [near]
        if not spec.same_rack:
            return [self.whole]
        racks = self._get_racks().values()
        groups = [one for one in racks if self._get_capacity(one, spec) >= count]
        return groups or [self.whole]

    def can_hold(self, spec: StepSpec, count: int) -> bool:
        """Tell whether the groups preferred by a step could hold it when empty.

        A step that needs one rack, or that of its data, must fit there.
        """
        if spec.data_rack:
            near = self._get_racks().get(spec.data_rack)
            return near is not None and self._get_capacity(near, spec) >= count
        if spec.same_rack:
            racks = self._get_racks().values()
            return any(self._get_capacity(one, spec) >= count for one in racks)
        return self._get_capacity(self.whole, spec) >= count

    def _get_racks(self) -> dict[str, WorkerGroup]:
        if self._racks is None:
            self._racks = {}
            for worker in self.whole.workers:
                group = self._racks.get(worker.rack)
                if group is None:
                    group = self._racks[worker.rack] = WorkerGroup([])
                group.workers.append(worker)
        return self._racks

    def _get_capacity(self, group: WorkerGroup, spec: StepSpec) -> int:
        if spec.spread_limit:
            return count_capacity(group.workers, spec)
        if group not in self._capacities:
            self._capacities[group] = count_capacity(group.workers, spec)
        return self._capacities[group]


def find_places(
    groups: list[WorkerGroup],
    spec: StepSpec,
    count: int,
    taken: dict[str, int],
    get_free: GetFree,
    get_sort_key: GetSortKey | None = None,
) -> list[str]:
    """Return workers for up to ``count`` tasks; all of them or none for a gang.

    Workers are taken in the order of ``get_sort_key``, the lowest first. Groups are
    compared by the number of tasks that they hold, then by the highest key among the
    workers taken there, then by the accelerators left.
    ``taken`` counts the tasks of the phase that each worker already runs.
    """
    best: list[str] = []
    best_key = (0, 0, 0)
    for group in groups:
        found = _fill(group.workers, spec, count, taken, get_free, get_sort_key)
        if spec.gang and len(found.places) < count:
            continue
        key = (-len(found.places), found.sort_key, found.left)
        if found.places and (not best or key < best_key):
            best, best_key = found.places, key
    return best


@dataclass(frozen=True, slots=True)
class _Filled:
    """Places in one group, their highest sort key, and the accelerators left there."""

    places: list[str]
    sort_key: int
    left: int


def _fill(group, spec, count, taken, get_free, get_sort_key) -> _Filled:
    rooms = []
    need, limit = spec.need, spec.spread_limit
    for worker in group:
        free = get_free(worker)
        fitting = count_fitting(free, need, limit, taken.get(worker.name, 0))
        if fitting > 0:
            sort_key = get_sort_key(worker) if get_sort_key is not None else 0
            room = (sort_key, free.accelerators, free.cpu_milli, worker.name, fitting)
            rooms.append(room)
    rooms.sort()
    places: list[str] = []
    highest = 0
    for sort_key, _, _, name, fitting in rooms:
        places += [name] * min(fitting, count - len(places))
        highest = sort_key
        if len(places) == count:
            break
    left = sum(room[1] for room in rooms) - len(places) * spec.accelerators
    return _Filled(places, highest, left)


def count_capacity(workers: list[FleetWorker], spec: StepSpec) -> int:
    """Return how many tasks of a step the workers could hold when empty."""
    need, limit = spec.need, spec.spread_limit
    return sum(count_fitting(worker.capacity, need, limit, 0) for worker in workers)


def count_fitting(room: Resources, need: Resources, limit: int, taken: int) -> int:
    """Return how many more tasks fit into a worker's room, 0 at least.

    ``limit`` is the step's spread limit, 0 for none; ``taken`` counts towards it.
    """
    fitting = room.count_fitting(need)
    if not limit:
        return fitting
    return max(0, min(fitting, limit - taken))
