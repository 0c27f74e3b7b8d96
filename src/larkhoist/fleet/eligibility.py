"""Select the workers on which a phase may start in one pass."""

from bisect import bisect_right

from larkhoist.fleet.leeway import (
    Leeway,
    count_together,
    get_failure_free_s,
    make_leeway,
)
from larkhoist.fleet.ranking import Tier
from larkhoist.fleet.room import ServiceRoom, count_service_rooms
from larkhoist.fleet.room_search import WorkerGroups, count_capacity, list_eligible
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.fleet.worker import FleetWorker
from larkhoist.ports.fleet import Resources

__all__ = ["Eligibility"]


class Eligibility:
    """The workers that may get tasks in one pass, with cached counts of their room.

    ``usable`` workers may get any task. ``quarantined`` ones may be tried by an overdue
    phase once they have been free of failures for as long as the phase requires.
    """

    def __init__(self, state: FleetState, now_s: float):
        self._state = state
        self._now_s = now_s
        self._service_rooms: list[dict[str, ServiceRoom]] = []
        self._fitting_counts: dict[Resources, int] = {}
        self._room_counts: dict[tuple, int] = {}
        self._groups: dict[tuple, WorkerGroups] = {}
        self._unreserved: dict[tuple, WorkerGroups] = {}
        self._factors: dict[str, float] = {}
        self._sorted_factors: dict[WorkerGroups, list[float]] = {}
        self._by_speed: dict[tuple[WorkerGroups, int], WorkerGroups] = {}
        self.usable: list[FleetWorker] = []
        self.quarantined: list[FleetWorker] = []
        for worker in state.workers.values():
            if state.is_usable(worker, now_s):
                self.usable.append(worker)
            elif state.may_probe(worker, 0.0, now_s):
                self.quarantined.append(worker)

    def get_leeway(self, active: ActiveJob, phase: Phase) -> Leeway:
        """Return which preferences a phase may ignore by now."""
        policy = self._state.policy
        overdue_s = max(
            phase.unserved_since_s + policy.longest_wait_s,
            phase.known_since_s + policy.taken_over_wait_s,
        )
        if self._now_s < overdue_s:
            return Leeway()
        service = active.job.terms.service
        fitting = self._count_room(service, phase)
        failure_free_s = get_failure_free_s(active, phase, self._now_s)
        leeways = [
            make_leeway(phase, room.used, room.total, fitting, failure_free_s, policy)
            for room in self._list_rooms(service)
        ]
        return max(leeways, key=lambda one: (one.all_idle, one.some_idle))

    def _list_rooms(self, service: str) -> list[ServiceRoom]:
        """Return a service's room, in total and without workers that are leaving.

        Enough room is idle if it is so in either count, since leaving workers may be
        full or empty.
        """
        if not self._service_rooms:
            self._service_rooms = [
                count_service_rooms(self._state),
                count_service_rooms(self._state, staying=True),
            ]
        return [rooms.get(service, ServiceRoom()) for rooms in self._service_rooms]

    def clear_room_counts(self) -> None:
        """Clear the counts of room, after tasks have started."""
        self._room_counts.clear()

    def may_fit(self, phase: Phase) -> bool:
        """Tell whether a search for room on the usable workers may succeed.

        The room is counted once per pass and need. It only shrinks within a pass, so
        the count remains an upper bound.
        """
        return self._count_fitting(phase.need) >= count_together(phase)

    def get_groups(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase
    ) -> WorkerGroups:
        """Return the workers that a phase prefers."""
        groups = self.list_unreserved(tier, leeway, active, phase)
        workers = groups.whole.workers
        failed = {name for task in phase.tasks for name in task.failed_on}
        if not failed:
            return groups
        others = [worker for worker in workers if worker.name not in failed]
        # Tasks avoid workers on which they failed only if the others could hold the
        # phase. If the others stay full, an overdue phase may use all usable workers;
        # without that, tasks waited for 9 s while workers were empty.
        if count_capacity(others, phase.spec) < len(phase.tasks):
            return groups
        return groups if len(others) == len(workers) else WorkerGroups(others)

    def list_usable(self, active: ActiveJob, phase: Phase) -> WorkerGroups:
        """Return the usable workers, including those reserved for other phases."""
        return self._get_usable(active.job.terms.service, phase)

    def list_unreserved(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase
    ) -> WorkerGroups:
        """Return the usable workers, without those reserved for other phases.

        Urgent work and phases that may use any rack get the reserved ones as well.
        """
        groups = self.list_usable(active, phase)
        reservations = self._state.reservations
        if not len(reservations) or leeway.any_rack or tier <= Tier.URGENT:
            return groups
        # Phases without a reservation of their own share the groups.
        own = phase.id if reservations.get(phase.id) is not None else None
        key = (groups, own, reservations.version)
        found = self._unreserved.get(key)
        if found is None:
            workers = groups.whole.workers
            rest = [w for w in workers if reservations.is_open_to(w.name, phase.id)]
            found = groups if len(rest) == len(workers) else WorkerGroups(rest)
            self._unreserved[key] = found
        return found

    def exclude_suspects(self, groups: WorkerGroups) -> WorkerGroups:
        """Leave out workers that run tasks that may crash them."""
        suspected = self._state.list_suspect_workers()
        workers = [w for w in groups.whole.workers if w.name not in suspected]
        return WorkerGroups(workers)

    def add_quarantined(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase
    ) -> WorkerGroups:
        """Return the usable workers and those in quarantine that may be tried now."""
        groups = self.list_unreserved(tier, leeway, active, phase)
        quarantined = list_eligible(
            self.quarantined, active.job.terms.service, phase.spec
        )
        state, now_s = self._state, self._now_s
        probeable = [
            w
            for w in quarantined
            if state.may_probe(w, leeway.probe_failure_free_s, now_s)
        ]
        return WorkerGroups([*groups.whole.workers, *probeable])

    def get_factor(self, worker: FleetWorker) -> float:
        """Return the speed factor of a worker, constant within a pass."""
        factor = self._factors.get(worker.name)
        if factor is None:
            factor = self._state.speeds.get_factor(worker.name)
            self._factors[worker.name] = factor
        return factor

    def select_by_speed(self, groups: WorkerGroups, most: float) -> WorkerGroups:
        """Return the workers whose factor is at most ``most``.

        Limits that select the same workers share the groups.
        """
        factors = self._sorted_factors.get(groups)
        if factors is None:
            factors = sorted(self.get_factor(w) for w in groups.whole.workers)
            self._sorted_factors[groups] = factors
        count = bisect_right(factors, most)
        if count == len(factors):
            return groups
        key = (groups, count)
        found = self._by_speed.get(key)
        if found is None:
            workers = groups.whole.workers
            chosen = [w for w in workers if self.get_factor(w) <= most]
            found = self._by_speed[key] = WorkerGroups(chosen)
        return found

    def _get_usable(self, service: str, phase: Phase) -> WorkerGroups:
        key = (service, phase.spec.label, phase.need)
        found = self._groups.get(key)
        if found is None:
            found = WorkerGroups(list_eligible(self.usable, service, phase.spec))
            self._groups[key] = found
        return found

    def _count_fitting(self, need: Resources) -> int:
        fitting = self._fitting_counts.get(need)
        if fitting is None:
            fitting = sum(w.free.count_fitting(need) for w in self.usable)
            self._fitting_counts[need] = fitting
        return fitting

    def _count_room(self, service: str, phase: Phase) -> int:
        """Return how many tasks have room on usable and quarantined workers."""
        key = (service, phase.spec.label, phase.need)
        count = self._room_counts.get(key)
        if count is None:
            workers = self._get_usable(service, phase).whole.workers
            quarantined = list_eligible(self.quarantined, service, phase.spec)
            both = (*workers, *quarantined)
            count = sum(worker.free.count_fitting(phase.need) for worker in both)
            self._room_counts[key] = count
        return count
