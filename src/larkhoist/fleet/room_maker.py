"""Make room for urgent phases by stopping others, and keep it until it is free."""

from larkhoist.fleet.placing import group_workers
from larkhoist.fleet.preemption import Victim, choose_victims, list_victims
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import CORES_PER_ACCELERATOR, ActiveJob, Phase
from larkhoist.fleet.worker import FleetWorker

__all__ = ["RoomMaker"]


class RoomMaker:
    """Choose victims for a phase, stop them and start the phase in their place."""

    def __init__(self, state: FleetState, now_s: float):
        self._state = state
        self._now_s = now_s

    def make_room(
        self,
        active: ActiveJob,
        phase: Phase,
        workers: list[FleetWorker],
        latest_s: float,
    ) -> None:
        """Stop what is worth it and keep the room.

        ``latest_s`` is the latest start at which the phase is still in time.
        """
        count = len(phase.get_waiting())
        victims = list_victims(
            [other for _, other in self._state.iter_phases()],
            lambda other: self._may_stop(active, other),
            self._now_s,
        )
        taken = phase.count_taken()
        groups = group_workers(workers, phase.spec, len(phase.tasks))
        found = choose_victims(groups, phase.spec, count, victims, taken)
        if found is None and active.firm:
            found = choose_victims([workers], phase.spec, count, victims, taken)
        if found is None:
            return
        places, chosen = found
        if not active.firm and not self._is_worth(phase, chosen, latest_s):
            return
        for victim in chosen:
            self._stop_victim(phase, victim)
        waiting = [task.index for task in phase.get_waiting()]
        self._state.keep_plan(phase, dict(zip(waiting, places, strict=True)))

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
            room = worker.capacity - worker.used
            if room.count_fitting(phase.need) < wanted:
                return False
        places = dict(phase.plan)
        state.drop_plan(phase)
        state.assign(phase, places, self._now_s)
        return True

    def _may_stop(self, active: ActiveJob, other: Phase) -> bool:
        holder = self._state.jobs[other.id.job_id]
        if holder is active or holder.firm or other.spec.long_running:
            return False
        return holder.priority != 0 or active.firm

    def _is_worth(self, phase: Phase, victims: list[Victim], latest_s: float) -> bool:
        policy = self._state.policy
        cores = phase.spec.cpu_milli / 1000
        cores += CORES_PER_ACCELERATOR * phase.spec.accelerators
        work = cores * phase.spec.estimate_ms / 1000 * len(phase.tasks)
        timely = self._now_s + policy.stop_s <= latest_s
        ratio = policy.timely_work_ratio if timely else policy.late_work_ratio
        return sum(victim.cost for victim in victims) <= work * ratio

    def _stop_victim(self, phase: Phase, victim: Victim) -> None:
        self._state.note(
            "preempted",
            job=victim.phase.id.job_id,
            step=victim.phase.id.step,
            tasks=len(victim.tasks),
            cost_core_s=round(victim.cost, 1),
            claimant=phase.id.job_id,
        )
        for task in victim.tasks:
            self._state.stop(victim.phase, task, self._now_s)
        if victim.phase.spec.gang:
            victim.phase.closing = True
