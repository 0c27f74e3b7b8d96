"""Choose which running tasks to stop so that an urgent phase finds room."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from larkhoist.fleet.placing import find_places
from larkhoist.fleet.task import Phase, Task
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import Resources

__all__ = ["Victim", "choose_victims", "list_victims"]


@dataclass(frozen=True, slots=True)
class Victim:
    """Hold tasks that are stopped together; ``cost`` is in core-seconds."""

    phase: Phase
    tasks: tuple[Task, ...]
    cost: float

    def count_on(self, worker: str) -> int:
        """Return how many of the tasks are on a worker."""
        return sum(task.worker == worker for task in self.tasks)


def list_victims(
    phases: Iterable[Phase],
    may_stop: Callable[[Phase], bool],
    now_s: float,
) -> list[Victim]:
    """Return what may be stopped: single tasks, or gangs as a whole."""
    victims = []
    for phase in phases:
        if not may_stop(phase):
            continue
        running = [task for task in phase.tasks if task.is_on_worker]
        running = [task for task in running if task.state.value != "stopping"]
        if not running:
            continue
        units = [running] if phase.spec.gang else [[task] for task in running]
        for unit in units:
            cost = phase.get_cost(unit, now_s)
            victims.append(Victim(phase, tuple(unit), cost))
    return victims


def choose_victims(
    groups: list[list[FleetWorker]],
    spec: StepSpec,
    count: int,
    victims: list[Victim],
    taken: dict[str, int],
) -> tuple[list[str], list[Victim]] | None:
    """Return places and the victims to stop for them at the least cost.

    ``taken`` counts the tasks of the phase that are on a worker already.

    None means that no set of victims makes room for all ``count`` tasks.
    """
    best = None
    best_cost = float("inf")
    for group in groups:
        found = _choose_in_group(group, spec, count, victims, taken)
        if found is None:
            continue
        cost = sum(victim.cost for victim in found[1])
        if cost < best_cost:
            best, best_cost = found, cost
    return best


def _choose_in_group(group, spec, count, victims, taken):
    names = {worker.name for worker in group}
    near = [
        (victim, sum(task.worker in names for task in victim.tasks))
        for victim in victims
    ]
    near = [(victim, hits) for victim, hits in near if hits]
    near.sort(key=lambda item: item[0].cost / item[1])
    gained: dict[str, Resources] = {}
    chosen: list[Victim] = []
    places = _find(group, spec, count, gained, taken)
    for victim, _ in near:
        if len(places) == count:
            break
        _gain(gained, victim, +1)
        chosen.append(victim)
        places = _find(group, spec, count, gained, taken)
    if len(places) < count:
        return None
    kept = _drop_needless(group, spec, count, gained, chosen, taken)
    return _find(group, spec, count, gained, taken), kept


def _drop_needless(group, spec, count, gained, chosen, taken):
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda item: -item.cost):
        _gain(gained, victim, -1)
        if len(_find(group, spec, count, gained, taken)) == count:
            kept.remove(victim)
        else:
            _gain(gained, victim, +1)
    return kept


def _gain(gained: dict[str, Resources], victim: Victim, sign: int) -> None:
    for task in victim.tasks:
        have = gained.get(task.worker, Resources())
        gained[task.worker] = have + victim.phase.need.scale(sign)


def _find(group, spec, count, gained, taken) -> list[str]:
    def get_free(worker: FleetWorker) -> Resources:
        return worker.free + gained.get(worker.name, Resources())

    return find_places([group], spec, count, taken, get_free)
