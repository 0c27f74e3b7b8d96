"""Tell which workers a phase may go to in one pass, and which it leaves out."""

from larkhoist.fleet.leeway import Leeway, count_together, get_calm_s, make_leeway
from larkhoist.fleet.placing import WorkerGroups, count_capacity, list_eligible
from larkhoist.fleet.ranking import Tier
from larkhoist.fleet.room import ServiceRoom, count_service_rooms
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.fleet.worker import FleetWorker
from larkhoist.ports.fleet import Resources

__all__ = ["Eligibility"]


class Eligibility:
    """Hold the workers that may get work now, and how much of it they have room for.

    ``usable`` ones may get any, ``held`` ones are in quarantine and may be tried once
    they have failed nothing for as long as a phase waits for.
    """

    def __init__(self, state: FleetState, now_s: float):
        self._state = state
        self._now_s = now_s
        self._rooms: list[dict[str, ServiceRoom]] = []
        self._fitting: dict[Resources, int] = {}
        self._room: dict[tuple, int] = {}
        self._groups: dict[tuple, WorkerGroups] = {}
        self.usable: list[FleetWorker] = []
        self.held: list[FleetWorker] = []
        for worker in state.workers.values():
            if state.is_usable(worker, now_s):
                self.usable.append(worker)
            elif state.may_probe(worker, 0.0, now_s):
                self.held.append(worker)

    def get_leeway(self, active: ActiveJob, phase: Phase) -> Leeway:
        """Return from which preferences a phase is free by now."""
        policy = self._state.policy
        overdue_s = max(
            phase.unserved_since_s + policy.longest_wait_s,
            phase.known_since_s + policy.taken_over_wait_s,
        )
        if self._now_s < overdue_s:
            return Leeway()
        service = active.job.terms.service
        fitting = self._count_room(service, phase)
        calm_s = get_calm_s(active, phase, self._now_s)
        leeways = [
            make_leeway(phase, room.used, room.total, fitting, calm_s, policy)
            for room in self._list_rooms(service)
        ]
        return max(leeways, key=lambda one: (one.all_idle, one.some_idle))

    def _list_rooms(self, service: str) -> list[ServiceRoom]:
        """Return a service's room, as a whole and without what is about to go.

        The half that has to be idle may be reached in either: workers that leave may
        be full or empty.
        """
        if not self._rooms:
            self._rooms = [
                count_service_rooms(self._state),
                count_service_rooms(self._state, staying=True),
            ]
        return [rooms.get(service, ServiceRoom()) for rooms in self._rooms]

    def forget_room(self) -> None:
        """Have the room counted anew, since something has started."""
        self._room.clear()

    def may_fit(self, phase: Phase) -> bool:
        """Tell whether it is worth to look for room on each usable worker.

        The room is counted once a pass for each need; since it only shrinks within
        a pass, the count stays an upper bound.
        """
        return self._count_fitting(phase.need) >= count_together(phase)

    def get_groups(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase
    ) -> WorkerGroups:
        """Return the workers that a phase goes to by preference."""
        groups = self.list_unreserved(tier, leeway, active, phase)
        workers = groups.whole.workers
        failed = {name for task in phase.tasks for name in task.failed_on}
        if not failed:
            return groups
        others = [worker for worker in workers if worker.name not in failed]
        # Where a task failed it is tried again only if the rest is too small, or has
        # been full for long: tasks waited for 9 s beside empty workers.
        if count_capacity(others, phase.spec) < len(phase.tasks):
            return groups
        return groups if len(others) == len(workers) else WorkerGroups(others)

    def list_usable(self, active: ActiveJob, phase: Phase) -> WorkerGroups:
        """Return the usable workers, those reserved for others included."""
        return self._get_usable(active.job.terms.service, phase)

    def list_unreserved(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase
    ) -> WorkerGroups:
        """Return the usable workers but for those reserved for others."""
        groups = self.list_usable(active, phase)
        reservations = self._state.reservations
        if not len(reservations) or leeway.any_rack or tier <= Tier.URGENT:
            return groups
        workers = groups.whole.workers
        rest = [w for w in workers if reservations.is_open_to(w.name, phase.id)]
        return groups if len(rest) == len(workers) else WorkerGroups(rest)

    def leave_out_suspects(self, groups: WorkerGroups) -> WorkerGroups:
        """Leave out workers on which something runs that may crash them."""
        suspected = self._state.list_suspect_workers()
        workers = [w for w in groups.whole.workers if w.name not in suspected]
        return WorkerGroups(workers)

    def add_held(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase
    ) -> WorkerGroups:
        """Return the usable workers and those in quarantine that may be tried."""
        groups = self.list_unreserved(tier, leeway, active, phase)
        held = list_eligible(self.held, active.job.terms.service, phase.spec)
        state, now_s = self._state, self._now_s
        calm = [w for w in held if state.may_probe(w, leeway.probe_calm_s, now_s)]
        return WorkerGroups([*groups.whole.workers, *calm])

    def _get_usable(self, service: str, phase: Phase) -> WorkerGroups:
        key = (service, phase.spec.label, phase.need)
        found = self._groups.get(key)
        if found is None:
            found = WorkerGroups(list_eligible(self.usable, service, phase.spec))
            self._groups[key] = found
        return found

    def _count_fitting(self, need: Resources) -> int:
        fitting = self._fitting.get(need)
        if fitting is None:
            fitting = sum(w.free.count_fitting(need) for w in self.usable)
            self._fitting[need] = fitting
        return fitting

    def _count_room(self, service: str, phase: Phase) -> int:
        """Return how many tasks find room on usable workers and in quarantine."""
        key = (service, phase.spec.label, phase.need)
        count = self._room.get(key)
        if count is None:
            workers = self._get_usable(service, phase).whole.workers
            held = list_eligible(self.held, service, phase.spec)
            both = (*workers, *held)
            count = sum(worker.free.count_fitting(phase.need) for worker in both)
            self._room[key] = count
        return count
