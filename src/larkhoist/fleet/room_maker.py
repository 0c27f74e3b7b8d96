"""Make room for urgent phases by stopping others, and hold it until they start."""

from larkhoist.fleet.preemption import VictimIndex, make_preemptor
from larkhoist.fleet.room_search import WorkerGroups
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.fleet.victim import Victim

__all__ = ["RoomMaker"]

GUARANTEED_PREEMPT_AFTER_S = 1.5
"""After this wait, guaranteed work may stop started guaranteed work of other customers.
The shortest time within which it must start is 2.7 s, and a stop takes up to 0.9 s."""


class RoomMaker:
    """Choose victims for a phase, stop them and start the phase in their place."""

    def __init__(self, state: FleetState, now_s: float):
        self._state = state
        self._now_s = now_s
        self._victims: VictimIndex | None = None

    def make_room(
        self,
        active: ActiveJob,
        phase: Phase,
        groups: WorkerGroups,
        latest_s: float,
        *,
        preferred_only: bool = False,
    ) -> bool:
        """Stop the cheapest victims if that is worth it, and hold their room.

        ``latest_s`` is the latest start at which the phase is still in time. With
        ``preferred_only``, guaranteed work keeps to its racks and to worthwhile stops,
        as other work does, since it may still search elsewhere. Returns whether room
        is held.
        """
        count = len(phase.get_waiting())
        taken = phase.count_taken()
        preemptor = make_preemptor(active)
        wanted = groups.list_groups(phase.spec, len(phase.tasks))
        victims = self._get_victims()
        room = victims.find_room(wanted, phase.spec, count, taken, preemptor)
        if room is None and active.firm and not preferred_only:
            wanted = [groups.whole]
            room = victims.find_room(wanted, phase.spec, count, taken, preemptor)
            if room is None:
                # Tried last, since each such stop interrupts a service.
                victims = VictimIndex(self._state, self._now_s, long_running=True)
                room = victims.find_room(wanted, phase.spec, count, taken, preemptor)
        if room is None and self._may_stop_guaranteed(active, phase):
            victims = VictimIndex(
                self._state, self._now_s, active, long_running=not preferred_only
            )
            room = victims.find_room(wanted, phase.spec, count, taken, preemptor)
        if room is None:
            return False
        needed = active.firm and not preferred_only
        if not needed and not self._is_worthwhile(phase, room.cost, latest_s):
            return False
        for victim in room.victims:
            victims.drop(victim)
            self._stop_victim(phase, victim)
        if victims is not self._victims:
            # The cached index still has the victims just stopped.
            self._victims = None
        waiting = [task.index for task in phase.get_waiting()]
        self._state.hold_plan(phase, dict(zip(waiting, room.places, strict=True)))
        return True

    def _get_victims(self) -> VictimIndex:
        if self._victims is None:
            self._victims = VictimIndex(self._state, self._now_s)
        return self._victims

    def start_planned(self, phase: Phase) -> bool:
        """Start a phase for which room is held, once the room is free.

        Returns whether the plan has ended: the phase has started, or the plan was
        dropped because it can no longer be carried out.
        """
        state = self._state
        workers = [state.workers.get(name) for name in phase.plan.values()]
        lost = any(w is None or not state.is_usable(w, self._now_s) for w in workers)
        if lost or set(phase.plan) != {task.index for task in phase.get_waiting()}:
            state.release_plan(phase)
            return True
        for worker in workers:
            wanted = sum(other is worker for other in workers)
            if worker.capacity.count_fitting(phase.need) < wanted:
                # The worker has shrunk: the phase will not fit even after the stops.
                state.release_plan(phase)
                return True
            room = worker.capacity - worker.used
            if room.count_fitting(phase.need) < wanted:
                return False
        places = dict(phase.plan)
        state.release_plan(phase)
        state.assign(phase, places, self._now_s)
        return True

    def _may_stop_guaranteed(self, active: ActiveJob, phase: Phase) -> bool:
        """Tell whether a job may stop guaranteed work of other customers.

        It may if it would otherwise start late. A job that has started before may not,
        so that two jobs never stop each other in turn.
        """
        if not active.firm or active.all_first_steps_started:
            return False
        return self._now_s >= phase.unserved_since_s + GUARANTEED_PREEMPT_AFTER_S

    def _is_worthwhile(self, phase: Phase, cost: float, latest_s: float) -> bool:
        policy = self._state.policy
        timely = self._now_s + policy.stop_s <= latest_s
        ratio = policy.timely_work_ratio if timely else policy.late_work_ratio
        return cost <= phase.work_core_s * ratio

    def _stop_victim(self, phase: Phase, victim: Victim) -> None:
        self._state.note(
            "preempted",
            job=victim.phase.id.job_id,
            step=victim.phase.id.step,
            tasks=len(victim.tasks),
            cost_core_s=round(victim.cost, 1),
            claimant=phase.id.job_id,
        )
        holder = self._state.jobs[victim.phase.id.job_id]
        if holder.firm:
            holder.yielded_to = phase.id.job_id
        for task in victim.tasks:
            self._state.stop(victim.phase, task, self._now_s)
        if victim.phase.spec.gang:
            victim.phase.closing = True
