"""Make room for urgent phases by stopping others, and keep it until it is free."""

from larkhoist.fleet.placing import WorkerGroups
from larkhoist.fleet.preemption import VictimIndex, make_claim
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.fleet.victim import Victim

__all__ = ["RoomMaker"]

FIRM_PATIENCE_S = 1.5
"""After this time guaranteed work may stop that of others that has begun. The users
have it begin within 2.7 s or more, of which a stop takes up to 0.9 s."""


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
    ) -> bool:
        """Stop what is worth it and keep the room; return whether there is any.

        ``latest_s`` is the latest start at which the phase is still in time.
        """
        count = len(phase.get_waiting())
        taken = phase.count_taken()
        claim = make_claim(active)
        wanted = groups.list_groups(phase.spec, len(phase.tasks))
        victims = self._get_victims()
        room = victims.find_room(wanted, phase.spec, count, taken, claim)
        if room is None and active.firm:
            wanted = [groups.whole]
            room = victims.find_room(wanted, phase.spec, count, taken, claim)
        if room is None and self._is_due(active, phase):
            victims = VictimIndex(self._state, self._now_s, active)
            room = victims.find_room(wanted, phase.spec, count, taken, claim)
        if room is None:
            return False
        if not active.firm and not self._is_worth(phase, room.cost, latest_s):
            return False
        for victim in room.victims:
            victims.drop(victim)
            self._stop_victim(phase, victim)
        if victims is not self._victims:
            # It still holds what has just been stopped by another index.
            self._victims = None
        waiting = [task.index for task in phase.get_waiting()]
        self._state.keep_plan(phase, dict(zip(waiting, room.places, strict=True)))
        return True

    def _get_victims(self) -> VictimIndex:
        if self._victims is None:
            self._victims = VictimIndex(self._state, self._now_s)
        return self._victims

    def start_planned(self, phase: Phase) -> bool:
        """Start a phase for which room is kept, once the room is free.

        Returns whether the plan is over: the phase has started, or room was lost.
        """
        state = self._state
        workers = [state.workers.get(name) for name in phase.plan.values()]
        lost = any(w is None or not state.is_usable(w, self._now_s) for w in workers)
        if lost or set(phase.plan) != {task.index for task in phase.get_waiting()}:
            state.drop_plan(phase)
            return True
        for worker in workers:
            wanted = sum(other is worker for other in workers)
            if worker.capacity.count_fitting(phase.need) < wanted:
                # The room has shrunk: the stops would be waited for in vain.
                state.drop_plan(phase)
                return True
            room = worker.capacity - worker.used
            if room.count_fitting(phase.need) < wanted:
                return False
        places = dict(phase.plan)
        state.drop_plan(phase)
        state.assign(phase, places, self._now_s)
        return True

    def _is_due(self, active: ActiveJob, phase: Phase) -> bool:
        """Tell whether guaranteed work would begin late unless that of others stops.

        What has begun once has no such claim: two never stop each other in turn.
        """
        if not active.firm or active.has_begun_whole:
            return False
        return self._now_s >= phase.unserved_since_s + FIRM_PATIENCE_S

    def _is_worth(self, phase: Phase, cost: float, latest_s: float) -> bool:
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
