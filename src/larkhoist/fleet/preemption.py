"""Choose which running tasks to stop so that a phase finds room.

Must stay fast when many urgent gangs arrive at once on full workers. The cost of room
on a worker is therefore computed once for each need and cached until its free room or
its victims change, so that the time of a search grows with the racks searched, not with
the running tasks.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace

from larkhoist.fleet.room_search import WorkerGroup
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.stop_costs import (
    Slot,
    SlotCurve,
    WorkerVictim,
    make_worker_victim,
)
from larkhoist.fleet.task import ActiveJob
from larkhoist.fleet.victim import Victim, iter_victims
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import Resources

__all__ = ["Preemptor", "Room", "VictimIndex", "make_preemptor"]

GROUPS_ESTIMATED = 4
"""How many groups of workers are estimated before one is chosen, in the order of their
cost per accelerator. More are estimated only if none of these has the room. With 4 of
42 racks, the longest decision for 30 urgent gangs on 832 workers takes 158 ms instead
of 329 ms; on 270 workers there is no gain (82 and 93 ms)."""
GROUPS_TRIED = 2
"""For how many groups of workers victims are chosen in full, the cheapest by estimate
first. Estimates are slightly off where gangs run on several workers."""


@dataclass(frozen=True, slots=True)
class Preemptor:
    """What decides which victims a job may stop."""

    priority: int
    firm: bool

    def may_stop(self, victim: Victim) -> bool:
        """Tell whether a victim may be stopped."""
        return self.firm or victim.priority > self.priority


@dataclass(frozen=True, slots=True)
class Room:
    """A worker for each task, and the victims to stop for them."""

    places: list[str]
    victims: list[Victim]

    @property
    def cost(self) -> float:
        """Return the work that the stops lose, in core-seconds."""
        return sum(victim.cost for victim in self.victims)


@dataclass(frozen=True, slots=True)
class _Estimate:
    """The cost of a group's slots, and the cost curves from which it was computed."""

    curves: tuple[SlotCurve, ...]
    cost: float | None

    def is_valid(self, group: WorkerGroup, curves: dict[str, SlotCurve]) -> bool:
        """Tell whether no worker of the group has changed since the estimate."""
        for worker, curve in zip(group.workers, self.curves, strict=True):
            if curve.free is not worker.free or curves.get(worker.name) is not curve:
                return False
        return True


@dataclass(slots=True)
class _Choice:
    """The workers of one group while slots are taken there."""

    workers: dict[str, FleetWorker]
    gained: dict[str, Resources] = field(default_factory=dict)
    chosen: list[Victim] = field(default_factory=list)
    taken: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def get_free(self, name: str) -> Resources:
        """Return the free room of a worker once the chosen victims have stopped."""
        free = self.workers[name].free
        gained = self.gained.get(name)
        return free if gained is None else free + gained

    def gain(self, victim: Victim, sign: int) -> None:
        """Add a victim's room to the free room (``sign`` 1), or subtract it (-1)."""
        need = victim.phase.need.scale(sign)
        for task in victim.tasks:
            have = self.gained.get(task.worker, Resources())
            self.gained[task.worker] = have + need


class _Heap:
    """A heap of the next slot of each worker, the cheapest first."""

    def __init__(self):
        self._heap: list[tuple[float, str, int, int]] = []
        self._versions: dict[str, int] = defaultdict(int)

    def push(self, name: str, curve: SlotCurve, number: int) -> None:
        """Add slot ``number`` of a worker, if it has that many."""
        slot = curve.get(number)
        if slot is not None:
            entry = (slot.cost, name, number, self._versions[name])
            heappush(self._heap, entry)

    def replace(self, name: str, curve: SlotCurve) -> None:
        """Replace all earlier slots of a worker by the first of the new ones."""
        self._versions[name] += 1
        self.push(name, curve, 0)

    def pop(self) -> tuple[str, int] | None:
        """Remove the cheapest slot; return its worker and number, None if empty."""
        while self._heap:
            _, name, number, version = heappop(self._heap)
            if version == self._versions[name]:
                return name, number
        return None


class VictimIndex:
    """The victims on each worker, for one pass at one time.

    Guaranteed work is left out, except what ``preempting_job`` may stop of it, and so
    are long-running tasks without ``long_running``.
    """

    def __init__(
        self,
        state: FleetState,
        now_s: float,
        preempting_job: ActiveJob | None = None,
        *,
        long_running: bool = False,
    ):
        self._by_worker: dict[str, list[WorkerVictim]] = defaultdict(list)
        self._curves: dict[tuple[Resources, Preemptor], dict[str, SlotCurve]] = (
            defaultdict(dict)
        )
        self._estimates: dict[tuple, _Estimate] = {}
        self._prices: dict[Preemptor, dict[str, tuple[float, int]]] = defaultdict(dict)
        victims = iter_victims(state, now_s, preempting_job, long_running=long_running)
        for victim in victims:
            for name in victim.workers:
                self._by_worker[name].append(make_worker_victim(victim, name))

    def find_room(
        self,
        groups: list[WorkerGroup],
        spec: StepSpec,
        count: int,
        taken: dict[str, int],
        preemptor: Preemptor,
    ) -> Room | None:
        """Return the cheapest room found for ``count`` tasks, None if there is none.

        ``taken`` counts the tasks of the phase that each worker already runs.
        """
        ranked = self._rank_groups(groups, spec, count, preemptor)
        estimates = []
        for number, group in enumerate(ranked):
            if number % GROUPS_ESTIMATED == 0 and estimates:
                break
            cost = self._estimate(group, spec, count, taken, preemptor)
            if cost is not None:
                estimates.append((cost, number, group))
        estimates.sort(key=lambda one: one[:2])
        found = [
            self._choose(group.workers, spec, count, taken, preemptor)
            for _, _, group in estimates[:GROUPS_TRIED]
        ]
        rooms = [room for room in found if room is not None]
        return min(rooms, key=lambda room: room.cost, default=None)

    def drop(self, victim: Victim) -> None:
        """Remove a victim that was stopped."""
        for name in victim.workers:
            rest = [one for one in self._by_worker[name] if one.victim is not victim]
            self._by_worker[name] = rest
            for known in (*self._curves.values(), *self._prices.values()):
                known.pop(name, None)

    # Ranking groups.

    def _rank_groups(self, groups, spec, count, preemptor) -> list[WorkerGroup]:
        """Return the groups that may have the room, the cheapest first.

        Few groups are returned as they are, since all of them are estimated.
        """
        if len(groups) <= GROUPS_ESTIMATED:
            return groups
        wanted = count * spec.accelerators
        priced = []
        for number, group in enumerate(groups):
            cost, room = self._get_price(group, preemptor)
            if room >= wanted:
                priced.append((cost / max(room, 1), number))
        priced.sort()
        return [groups[number] for _, number in priced]

    def _get_price(self, group: WorkerGroup, preemptor: Preemptor) -> tuple[float, int]:
        """Return the cost of all stops in a group and the accelerators then free."""
        prices = self._prices[preemptor]
        cost = 0.0
        room = 0
        for worker in group.workers:
            price = prices.get(worker.name)
            if price is None:
                victims = self._list_victims(worker.name, preemptor)
                price = prices[worker.name] = (
                    sum(one.cost for one in victims),
                    sum(one.gain.accelerators for one in victims),
                )
            cost += price[0]
            room += price[1] + worker.free.accelerators
        return cost, room

    def _list_victims(self, name: str, preemptor: Preemptor) -> list[WorkerVictim]:
        victims = self._by_worker.get(name, ())
        return [one for one in victims if preemptor.may_stop(one.victim)]

    # Estimating groups.

    def _estimate(self, group, spec, count, taken, preemptor) -> float | None:
        """Return the cost of a group's cheapest slots, None if there are too few."""
        if spec.spread_limit:
            costs = self._list_costs(group, spec, count, taken, preemptor)
            return sum(costs) if len(costs) == count else None
        curves = self._curves[spec.need, preemptor]
        key = (group, spec.need, preemptor, count)
        known = self._estimates.get(key)
        if known is not None and known.is_valid(group, curves):
            return known.cost
        costs = self._list_costs(group, spec, count, taken, preemptor)
        cost = sum(costs) if len(costs) == count else None
        based_on = tuple(curves[worker.name] for worker in group.workers)
        self._estimates[key] = _Estimate(based_on, cost)
        return cost

    def _list_costs(self, group, spec, count, taken, preemptor) -> list[float]:
        """Return the costs of the cheapest slots of a group, ``count`` at the most."""
        curves = []
        heap = []
        for worker in group.workers:
            limit = _get_limit(worker.name, spec, count, taken)
            curve = self._get_curve(worker, spec, preemptor)
            slot = curve.get(0) if limit > 0 else None
            if slot is not None:
                heap.append((slot.cost, len(curves), 0))
                curves.append((curve, limit))
        heapify(heap)
        costs: list[float] = []
        while heap and len(costs) < count:
            cost, number, place = heap[0]
            costs.append(cost)
            curve, limit = curves[number]
            slot = curve.get(place + 1) if place + 1 < limit else None
            if slot is not None:
                heapreplace(heap, (slot.cost, number, place + 1))
            else:
                heappop(heap)
        return costs

    def _get_curve(
        self, worker: FleetWorker, spec: StepSpec, preemptor: Preemptor
    ) -> SlotCurve:
        curves = self._curves[spec.need, preemptor]
        curve = curves.get(worker.name)
        if curve is None or curve.free is not worker.free:
            victims = self._list_victims(worker.name, preemptor)
            curve = SlotCurve(worker.free, spec.need, victims)
            curves[worker.name] = curve
        return curve

    # Choosing victims in one group.

    def _choose(self, group, spec, count, taken, preemptor) -> Room | None:
        choice = _Choice({worker.name: worker for worker in group})
        curves = {w.name: self._get_curve(w, spec, preemptor) for w in group}
        heap = _Heap()
        for name, curve in curves.items():
            heap.push(name, curve, 0)
        places: list[str] = []
        while len(places) < count:
            entry = heap.pop()
            if entry is None:
                return None
            name, number = entry
            if choice.taken[name] >= _get_limit(name, spec, count, taken):
                continue
            choice.taken[name] += 1
            places.append(name)
            changed = self._take_slot(choice, curves[name].get(number))
            for other in sorted(changed):
                curves[other] = self._refresh(choice, other, spec.need, preemptor)
                heap.replace(other, curves[other])
            if name not in changed:
                heap.push(name, curves[name], number + 1)
        return Room(places, _drop_needless_victims(choice, spec.need))

    def _take_slot(self, choice: _Choice, slot: Slot) -> set[str]:
        """Choose the victims of a slot.

        Returns the workers of victims that run on several, whose slots have changed.
        """
        affected: set[str] = set()
        for victim in slot.victims:
            choice.chosen.append(victim)
            choice.gain(victim, +1)
            if len(victim.workers) > 1:
                affected |= victim.workers & choice.workers.keys()
        return affected

    def _refresh(
        self, choice: _Choice, name: str, need: Resources, preemptor: Preemptor
    ) -> SlotCurve:
        """Return a worker's new slots after a gang that also runs there was chosen."""
        victims = self._list_victims(name, preemptor)
        victims = [one for one in victims if one.victim not in choice.chosen]
        free = choice.get_free(name) - need.scale(choice.taken[name])
        return SlotCurve(free, need, victims)


def make_preemptor(active: ActiveJob) -> Preemptor:
    """Return the preemptor for a job that needs room."""
    return Preemptor(active.priority, active.firm)


def _get_limit(name: str, spec: StepSpec, count: int, taken: dict[str, int]) -> int:
    if not spec.spread_limit:
        return count
    return min(count, spec.spread_limit - taken.get(name, 0))


def _drop_needless_victims(choice: _Choice, need: Resources) -> list[Victim]:
    """Return the chosen victims without those whose stop no task needs."""
    kept = list(choice.chosen)
    for victim in sorted(choice.chosen, key=lambda one: -one.cost):
        choice.gain(victim, -1)
        enough = all(
            choice.get_free(name).count_fitting(need) >= choice.taken.get(name, 0)
            for name in victim.workers & choice.workers.keys()
        )
        if enough:
            kept.remove(victim)
        else:
            choice.gain(victim, +1)
    return kept
