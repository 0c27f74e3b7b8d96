"""Choose which running tasks to stop so that a phase finds room.

Answers bursts of urgent gangs on full workers: what a worker's room costs is worked
out once for each need and again only where a claim has changed it, so that a claim
costs in proportion to the racks it looks at, not to the tasks that run.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace

from larkhoist.fleet.placing import WorkerGroup
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.stop_costs import LocalVictim, Slot, list_slots, make_local
from larkhoist.fleet.task import ActiveJob
from larkhoist.fleet.victim import Victim, iter_victims
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import Resources

__all__ = ["Claim", "Room", "VictimIndex", "make_claim"]

GROUPS_ESTIMATED = 4
"""How many groups of workers are estimated before one is chosen, the cheapest by
accelerator first; the next ones only where none of these has the room. With 4 racks of
42 the longest decision with 30 urgent gangs on 832 workers went from 329 to 158 ms; on
270 workers it gained nothing (82 and 93 ms, ``make measure``, one run each)."""
GROUPS_TRIED = 2
"""How many groups of workers are worked out in full, the cheapest by estimate first:
gangs that run on several workers make the estimate of a group a little wrong."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold what decides whom a claimant may stop."""

    priority: int
    firm: bool

    def may_stop(self, victim: Victim) -> bool:
        """Tell whether a victim may be stopped."""
        return self.firm or victim.priority > self.priority


@dataclass(frozen=True, slots=True)
class Room:
    """Hold a worker for each task, and the victims to stop for them."""

    places: list[str]
    victims: list[Victim]

    @property
    def cost(self) -> float:
        """Return what the stops throw away, in core-seconds."""
        return sum(victim.cost for victim in self.victims)


@dataclass(frozen=True, slots=True)
class _Curve:
    """Hold the slots of a worker, in order; ``free`` is the room they are based on."""

    free: Resources
    slots: tuple[Slot, ...]


@dataclass(frozen=True, slots=True)
class _Estimate:
    """Hold what a group's slots cost, and the curves that this is based on."""

    curves: tuple[_Curve, ...]
    cost: float | None

    def is_valid(self, group: WorkerGroup, curves: dict[str, _Curve]) -> bool:
        """Tell whether every worker of the group is as it was."""
        for worker, curve in zip(group.workers, self.curves, strict=True):
            if curve.free is not worker.free or curves.get(worker.name) is not curve:
                return False
        return True


@dataclass(slots=True)
class _Choice:
    """Hold the workers of one group while slots are taken there."""

    workers: dict[str, FleetWorker]
    gained: dict[str, Resources] = field(default_factory=dict)
    chosen: list[Victim] = field(default_factory=list)
    taken: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def get_free(self, name: str) -> Resources:
        """Return the room of a worker once the chosen victims have stopped."""
        free = self.workers[name].free
        gained = self.gained.get(name)
        return free if gained is None else free + gained

    def gain(self, victim: Victim, sign: int) -> None:
        """Count the room of a victim as free, or no longer."""
        need = victim.phase.need.scale(sign)
        for task in victim.tasks:
            have = self.gained.get(task.worker, Resources())
            self.gained[task.worker] = have + need


class _Heap:
    """Hold the next slot of each worker, the cheapest first."""

    def __init__(self):
        self._heap: list[tuple[float, str, int, int]] = []
        self._versions: dict[str, int] = defaultdict(int)

    def push(self, name: str, slots: tuple[Slot, ...], number: int) -> None:
        """Add slot ``number`` of a worker, if it has that many."""
        if number < len(slots):
            entry = (slots[number].cost, name, number, self._versions[name])
            heappush(self._heap, entry)

    def replace(self, name: str, slots: tuple[Slot, ...]) -> None:
        """Put the first of new slots in the place of those before."""
        self._versions[name] += 1
        self.push(name, slots, 0)

    def pop(self) -> tuple[str, int] | None:
        """Take out the worker and the number of the cheapest slot."""
        while self._heap:
            _, name, number, version = heappop(self._heap)
            if version == self._versions[name]:
                return name, number
        return None


class VictimIndex:
    """Hold by worker what may be stopped there, for one pass at one time.

    Guaranteed work is left out, but for what the job ``firm_for`` may stop of it.
    """

    def __init__(
        self, state: FleetState, now_s: float, firm_for: ActiveJob | None = None
    ):
        self._by_worker: dict[str, list[LocalVictim]] = defaultdict(list)
        self._curves: dict[tuple[Resources, Claim], dict[str, _Curve]] = defaultdict(
            dict
        )
        self._estimates: dict[tuple, _Estimate] = {}
        self._prices: dict[Claim, dict[str, tuple[float, int]]] = defaultdict(dict)
        for victim in iter_victims(state, now_s, firm_for):
            for name in victim.workers:
                self._by_worker[name].append(make_local(victim, name))

    def find_room(
        self,
        groups: list[WorkerGroup],
        spec: StepSpec,
        count: int,
        taken: dict[str, int],
        claim: Claim,
    ) -> Room | None:
        """Return the room for all ``count`` tasks at the least cost, if there is any.

        ``taken`` counts the tasks of the phase that are on a worker already.
        """
        ranked = self._rank_groups(groups, spec, count, claim)
        estimates = []
        for number, group in enumerate(ranked):
            if number % GROUPS_ESTIMATED == 0 and estimates:
                break
            cost = self._estimate(group, spec, count, taken, claim)
            if cost is not None:
                estimates.append((cost, number, group))
        estimates.sort(key=lambda one: one[:2])
        found = [
            self._choose(group.workers, spec, count, taken, claim)
            for _, _, group in estimates[:GROUPS_TRIED]
        ]
        rooms = [room for room in found if room is not None]
        return min(rooms, key=lambda room: room.cost, default=None)

    def drop(self, victim: Victim) -> None:
        """Take a victim that was stopped off the index."""
        for name in victim.workers:
            rest = [one for one in self._by_worker[name] if one.victim is not victim]
            self._by_worker[name] = rest
            for known in (*self._curves.values(), *self._prices.values()):
                known.pop(name, None)

    # Which groups to look at.

    def _rank_groups(self, groups, spec, count, claim) -> list[WorkerGroup]:
        """Return the groups that may have the room, the cheapest first."""
        if len(groups) <= GROUPS_ESTIMATED:
            return groups
        wanted = count * spec.accelerators
        priced = []
        for number, group in enumerate(groups):
            cost, room = self._get_price(group, claim)
            if room >= wanted:
                priced.append((cost / max(room, 1), number))
        priced.sort()
        return [groups[number] for _, number in priced]

    def _get_price(self, group: WorkerGroup, claim: Claim) -> tuple[float, int]:
        """Return what all stops in a group cost, and the accelerators free then."""
        prices = self._prices[claim]
        cost = 0.0
        room = 0
        for worker in group.workers:
            price = prices.get(worker.name)
            if price is None:
                victims = self._list_victims(worker.name, claim)
                price = prices[worker.name] = (
                    sum(one.cost for one in victims),
                    sum(one.gain.accelerators for one in victims),
                )
            cost += price[0]
            room += price[1] + worker.free.accelerators
        return cost, room

    def _list_victims(self, name: str, claim: Claim) -> list[LocalVictim]:
        victims = self._by_worker.get(name, ())
        return [one for one in victims if claim.may_stop(one.victim)]

    # Estimates.

    def _estimate(self, group, spec, count, taken, claim) -> float | None:
        """Return what the cheapest slots of a group cost, None if they are too few."""
        if spec.spread_limit:
            costs = self._list_costs(group, spec, count, taken, claim)
            return sum(costs) if len(costs) == count else None
        curves = self._curves[spec.need, claim]
        key = (group, spec.need, claim, count)
        known = self._estimates.get(key)
        if known is not None and known.is_valid(group, curves):
            return known.cost
        costs = self._list_costs(group, spec, count, taken, claim)
        cost = sum(costs) if len(costs) == count else None
        based_on = tuple(curves[worker.name] for worker in group.workers)
        self._estimates[key] = _Estimate(based_on, cost)
        return cost

    def _list_costs(self, group, spec, count, taken, claim) -> list[float]:
        """Return the costs of the cheapest slots of a group, ``count`` at the most."""
        curves = []
        for worker in group.workers:
            slots = self._get_curve(worker, spec, claim).slots
            limit = _get_limit(worker.name, spec, count, taken)
            if slots and limit > 0:
                curves.append(slots[:limit])
        heap = [(slots[0].cost, number, 0) for number, slots in enumerate(curves)]
        heapify(heap)
        costs: list[float] = []
        while heap and len(costs) < count:
            cost, number, place = heap[0]
            costs.append(cost)
            if place + 1 < len(curves[number]):
                next_cost = curves[number][place + 1].cost
                heapreplace(heap, (next_cost, number, place + 1))
            else:
                heappop(heap)
        return costs

    def _get_curve(self, worker: FleetWorker, spec: StepSpec, claim: Claim) -> _Curve:
        curves = self._curves[spec.need, claim]
        curve = curves.get(worker.name)
        if curve is None or curve.free is not worker.free:
            victims = self._list_victims(worker.name, claim)
            slots = list_slots(worker.free, spec.need, victims)
            curve = curves[worker.name] = _Curve(worker.free, slots)
        return curve

    # The choice in one group.

    def _choose(self, group, spec, count, taken, claim) -> Room | None:
        choice = _Choice({worker.name: worker for worker in group})
        curves = {w.name: self._get_curve(w, spec, claim).slots for w in group}
        heap = _Heap()
        for name, slots in curves.items():
            heap.push(name, slots, 0)
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
            renewed = self._take_slot(choice, curves[name][number])
            for other in sorted(renewed):
                curves[other] = self._refresh(choice, other, spec.need, claim)
                heap.replace(other, curves[other])
            if name not in renewed:
                heap.push(name, curves[name], number + 1)
        return Room(places, _drop_idle_victims(choice, spec.need))

    def _take_slot(self, choice: _Choice, slot: Slot) -> set[str]:
        """Choose the victims of a slot; return the workers of those on several."""
        wide: set[str] = set()
        for victim in slot.victims:
            choice.chosen.append(victim)
            choice.gain(victim, +1)
            if len(victim.workers) > 1:
                wide |= victim.workers & choice.workers.keys()
        return wide

    def _refresh(
        self, choice: _Choice, name: str, need: Resources, claim: Claim
    ) -> tuple[Slot, ...]:
        """Work a worker out anew after a gang that runs there too was chosen."""
        victims = self._list_victims(name, claim)
        victims = [one for one in victims if one.victim not in choice.chosen]
        free = choice.get_free(name) - need.scale(choice.taken[name])
        return list_slots(free, need, victims)


def make_claim(active: ActiveJob) -> Claim:
    """Return what a job may claim."""
    return Claim(active.priority, active.firm)


def _get_limit(name: str, spec: StepSpec, count: int, taken: dict[str, int]) -> int:
    if not spec.spread_limit:
        return count
    return min(count, spec.spread_limit - taken.get(name, 0))


def _drop_idle_victims(choice: _Choice, need: Resources) -> list[Victim]:
    """Keep of the chosen victims those that a place does not do without."""
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
