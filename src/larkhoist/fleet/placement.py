"""Give waiting phases their workers, the most pressing first."""

import math

import msgspec

from larkhoist.fleet.eligibility import Eligibility
from larkhoist.fleet.leeway import Leeway, count_together
from larkhoist.fleet.placing import WorkerGroups, find_places
from larkhoist.fleet.ranking import Rank, Tier, rank_phase
from larkhoist.fleet.room import (
    count_room_without_checkpoints,
    count_urgent,
    get_used_share,
)
from larkhoist.fleet.room_maker import RoomMaker
from larkhoist.fleet.shapes import Among, Shape, make_shape
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.fleet.wait_notes import WaitNotes
from larkhoist.fleet.waits import WaitReason
from larkhoist.fleet.worker import FleetWorker

__all__ = ["place_waiting"]

PACE_STEP = math.log(1.2)
"""Workers whose times differ by less than this count as equally fast; a guess."""
CLAIMS_PER_PASS = 4
"""How many phases look for victims in one pass; the rest do in the next, at once.

Bounds the time in which the owner answers nobody: 100 gangs that claim room together
took 3.6 s in one step on 270 workers, now 59 ms at the most (``make measure``).
"""
CLAIM_PAUSE_S = 0.25
"""How long a phase waits that found no victims worth it; meanwhile work ends and
frees room, and others that wait are looked at."""


APART_WAIT_S = 1.0
"""How long a task under which a worker crashed waits for a worker without another such
task. Two that go on together are lost together, and one of them is blamed for nothing:
in 20 s of two tasks that crash their workers, three others met them twice or more. Less
than the 2.7 s in which urgent work has to begin."""


class _Waiting(msgspec.Struct, frozen=True):
    """Hold a phase that could start, and its place."""

    rank: Rank
    active: ActiveJob
    phase: Phase


class _Pass:
    """Hold what one pass over the waiting phases shares."""

    def __init__(self, state: FleetState, guarantees: dict[str, int], now_s: float):
        self.state = state
        self.now_s = now_s
        self.room_maker = RoomMaker(state, now_s)
        self.claims_left = CLAIMS_PER_PASS
        self.unfinished = False
        self.failed: set[Shape] = set()
        self.eligible = Eligibility(state, now_s)
        self.usable = self.eligible.usable
        self.room_without_checkpoints = count_room_without_checkpoints(
            state, guarantees
        )
        used = count_urgent(state, now_s)
        state.urgent_demand.note(used, now_s)
        self.kept_for_urgent = int(state.urgent_demand.get_peak(now_s) - used)
        free = sum(max(0, worker.free.accelerators) for worker in self.usable)
        self.open_accelerators = free - self.kept_for_urgent
        used_share = get_used_share(state)
        self.notes = WaitNotes(state, used_share, now_s)
        self.mostly_idle = used_share < state.policy.idle_share

    def run(self) -> None:
        waiting = []
        for active, phase in self.state.iter_phases():
            if active.ended or not active.is_ready(phase, self.now_s):
                continue
            if phase.plan or phase.get_waiting():
                waiting.append(_Waiting(self._rank(active, phase), active, phase))
        waiting.sort(key=lambda one: one.rank)
        self.state.reservations.keep_only(
            {one.phase.id for one in waiting if one.rank.tier <= Tier.LATE},
            {worker.name for worker in self.usable},
        )
        self.state.reservations.drop_too_small(self.state)
        for one in waiting:
            self._place(one.rank, one.active, one.phase)

    def _rank(self, active: ActiveJob, phase: Phase) -> Rank:
        state = self.state
        return rank_phase(active, phase, state.runtimes, state.policy, self.now_s)

    def _place(self, rank: Rank, active: ActiveJob, phase: Phase) -> None:
        tier = rank.tier
        leeway = self.eligible.get_leeway(active, phase)
        if phase.plan:
            if self.room_maker.start_planned(phase):
                # A plan that was lost gives room back, which found none may use now.
                self.failed.clear()
            else:
                self._start_elsewhere(tier, leeway, active, phase)
        if phase.plan:
            self._note_wait(phase, WaitReason.PLANNED, tier, self.usable)
            return
        if not phase.get_waiting():
            return
        waited_s = self.now_s - phase.waiting_since_s
        may_reserve = phase.spec.gang and self._may_reserve(tier, phase, waited_s)
        urgent = tier <= Tier.URGENT
        may_probe = self._may_probe(leeway, phase)
        may_fit = may_probe or self.eligible.may_fit(phase)
        if not (urgent or may_reserve or may_fit):
            self._note_wait(phase, WaitReason.NO_ROOM, tier, self.usable)
            return
        if self._has_suspects(phase) and waited_s < APART_WAIT_S:
            groups, reason = self._start_apart(tier, leeway, active, phase)
        else:
            groups = self.eligible.get_groups(tier, leeway, active, phase)
            reason = self._start(tier, leeway, active, phase, groups)
            if reason is not None and leeway.overdue:
                reason = self._start_overdue(tier, leeway, active, phase, reason)
        if reason is None:
            phase.wait_reasons.clear()
            return
        self._note_wait(phase, reason, tier, groups.whole.workers)
        if reason is not WaitReason.NO_ROOM:
            return
        if tier <= Tier.URGENT:
            self._claim(rank, active, phase, groups)
        elif may_reserve:
            self._reserve(active, phase, groups)

    def _claim(self, rank: Rank, active: ActiveJob, phase: Phase, groups) -> None:
        """Look for victims, unless the phase or the pass has to wait with that."""
        if self.now_s < phase.claim_again_s:
            return
        if not self.claims_left:
            self.unfinished = True
            return
        self.claims_left -= 1
        if not self.room_maker.make_room(active, phase, groups, rank.order):
            phase.claim_again_s = self.now_s + CLAIM_PAUSE_S

    def _start_apart(
        self, tier, leeway, active, phase
    ) -> tuple[WorkerGroups, WaitReason | None]:
        """Start tasks one by one, each on a worker without any that may crash it."""
        while True:
            left = len(phase.get_waiting())
            groups = self.eligible.get_groups(tier, leeway, active, phase)
            groups = self.eligible.leave_out_suspects(groups)
            reason = self._start(tier, leeway, active, phase, groups, Among.APART)
            if reason is None or len(phase.get_waiting()) == left:
                return groups, reason

    def _start_overdue(
        self, tier, leeway: Leeway, active, phase: Phase, reason: WaitReason
    ) -> WaitReason | None:
        """Start what has waited for long where it would not go by preference.

        First where it has failed before, then on workers in quarantine, which would be
        waited for for half a minute, in other racks, and last on workers reserved for
        others. ``reason`` is why it has not started yet.
        """
        left = len(phase.get_waiting())
        for among in self._list_last_resorts(leeway, phase):
            groups = self._get_last_resort(among, tier, leeway, active, phase)
            reason = self._start(tier, leeway, active, phase, groups, among)
            if reason is None or len(phase.get_waiting()) < left:
                break
        return reason

    def _list_last_resorts(self, leeway: Leeway, phase: Phase) -> list[Among]:
        """Return where a phase that has waited for long may go, in this order."""
        last_resorts = (
            (any(task.failed_on for task in phase.tasks), Among.USABLE),
            (self._may_probe(leeway, phase), Among.QUARANTINED),
            (self._may_leave_rack(leeway, phase), Among.ANY_RACK),
            (self._may_use_reserved(leeway, phase), Among.RESERVED),
        )
        return [among for applies, among in last_resorts if applies]

    def _get_last_resort(
        self, among: Among, tier: Tier, leeway: Leeway, active, phase: Phase
    ) -> WorkerGroups:
        match among:
            case Among.QUARANTINED:
                return self.eligible.add_held(tier, leeway, active, phase)
            case Among.RESERVED:
                return self.eligible.list_usable(active, phase)
            case _:
                return self.eligible.list_unreserved(tier, leeway, active, phase)

    def _may_probe(self, leeway: Leeway, phase: Phase) -> bool:
        """Tell whether a phase may try workers in quarantine.

        Where most is in use, only one that has nothing running may.
        """
        if not self.eligible.held or not leeway.fits_twice:
            return False
        return leeway.any_worker or _stands(phase)

    def _may_leave_rack(self, leeway: Leeway, phase: Phase) -> bool:
        """Tell whether a phase may leave its racks though more than half is used.

        Only one that has nothing running may.
        """
        spec = phase.spec
        if leeway.any_rack or not (spec.same_rack or spec.data_rack):
            return False
        return leeway.fits_twice and _stands(phase)

    def _may_use_reserved(self, leeway: Leeway, phase: Phase) -> bool:
        """Tell whether a phase may use workers reserved for others.

        Only one that has nothing running may, one task or gang at a time: those for
        which they are reserved wait longer beside it.
        """
        if not len(self.state.reservations):
            return False
        return leeway.fits_twice and _stands(phase)

    def _start(
        self,
        tier,
        leeway: Leeway,
        active,
        phase,
        groups,
        among: Among = Among.PREFERRED,
    ) -> WaitReason | None:
        """Start what finds room; return why something is left, None if nothing."""
        count = len(phase.get_waiting())
        if among is Among.APART and not phase.spec.gang:
            count = 1
        if _is_one_at_a_time(among, leeway):
            count = min(count, count_together(phase))
        if not self.mostly_idle:
            allowed = self._count_allowed(active, phase, count)
            if leeway.overdue:
                allowed = max(allowed, _count_overdue(leeway, phase))
            count = min(count, allowed)
        if not groups.whole.workers:
            return WaitReason.NO_WORKER
        if count == 0 or phase.spec.gang and count < len(phase.tasks):
            return self._get_hold(phase)
        # Room only shrinks within a pass: what found none finds none again.
        own = phase.id if self.state.reservations.get(phase.id) else None
        shape = make_shape(active, phase, tier, leeway, count, own, among)
        if shape in self.failed:
            return WaitReason.NO_ROOM
        search = (groups, tier, phase, count)
        anywhere = leeway.any_rack or among in (Among.ANY_RACK, Among.RESERVED)
        places = self._find_unreserved(*search, anywhere=anywhere)
        if not places:
            places = self._find_places(*search, anywhere=anywhere)
        if places:
            self._assign(active, phase, places)
        else:
            self.failed.add(shape)
        return WaitReason.NO_ROOM if phase.get_waiting() else None

    def _find_unreserved(
        self, groups: WorkerGroups, tier: Tier, phase: Phase, count: int, *, anywhere
    ) -> list[str]:
        """Look for room beside what is reserved; urgent work may go there too."""
        if tier > Tier.URGENT or not len(self.state.reservations):
            return []
        is_open_to = self.state.reservations.is_open_to
        workers = [w for w in groups.whole.workers if is_open_to(w.name, phase.id)]
        rest = WorkerGroups(workers)
        return self._find_places(rest, tier, phase, count, anywhere=anywhere)

    def _start_elsewhere(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase
    ) -> None:
        """Start a phase that waits for stops where all of it finds room by now.

        A stop takes 0.45 s at half, 0.9 s at worst, and the slowest one counts;
        meanwhile other tasks end. Gains 0.015 of worth (standard error 0.008, paired
        over 45 days of three deployments).
        """
        plan = dict(phase.plan)
        self.state.drop_plan(phase)
        groups = self.eligible.get_groups(tier, leeway, active, phase)
        search = (groups, tier, phase, len(plan))
        places = self._find_places(*search, anywhere=leeway.any_rack)
        if len(places) == len(plan):
            self._assign(active, phase, places)
        else:
            self.state.keep_plan(phase, plan)

    def _find_places(
        self, groups: WorkerGroups, tier: Tier, phase: Phase, count: int, *, anywhere
    ) -> list[str]:
        wanted = [groups.whole]
        if not anywhere:
            wanted = groups.list_groups(phase.spec, len(phase.tasks))
        return find_places(
            wanted,
            phase.spec,
            count,
            phase.count_taken(),
            lambda worker: worker.free,
            self._choose_pace(tier, phase),
        )

    def _has_suspects(self, phase: Phase) -> bool:
        if not self.state.suspects:
            return False
        return any(task.lost.blamed for task in phase.get_waiting())

    def _choose_pace(self, tier: Tier, phase: Phase):
        """Return by what workers are preferred, None for those with least room.

        What may crash its worker goes where the least runs: of 270 workers it then ends
        14 runs of others in a day instead of 29 (replay of crashes, 8 days).
        """
        if self._has_suspects(phase):
            return _count_tasks
        if tier <= Tier.URGENT or phase.spec.gang:
            return self._get_pace
        return None

    def _get_pace(self, worker: FleetWorker) -> int:
        factor = self.state.speeds.get_factor(worker.name)
        return round(math.log(factor) / PACE_STEP)

    def _note_wait(self, phase: Phase, reason: WaitReason, tier: Tier, workers) -> None:
        self.notes.note(
            phase,
            reason,
            tier,
            workers,
            self.room_without_checkpoints,
            self.kept_for_urgent,
        )

    def _assign(self, active: ActiveJob, phase: Phase, places: list[str]) -> None:
        self.state.reservations.drop(phase.id)
        chosen = phase.get_waiting()[: len(places)]
        taken = phase.spec.accelerators * len(places)
        self.open_accelerators -= taken
        if active.priority != 0 and not phase.spec.checkpoints:
            self.room_without_checkpoints -= taken
        by_index = {task.index: name for task, name in zip(chosen, places, strict=True)}
        self.state.assign(phase, by_index, self.now_s)
        self.eligible.forget_room()

    def _count_allowed(self, active: ActiveJob, phase: Phase, wanted: int) -> int:
        """Bound other work by what urgent work may need.

        What can't be stopped cheaply is bounded by the guarantees as well.
        """
        spec = phase.spec
        if active.priority == 0 or not spec.accelerators:
            return wanted
        room = self.open_accelerators
        if not spec.checkpoints:
            room = min(room, self.room_without_checkpoints)
        return max(0, room) // spec.accelerators

    def _get_hold(self, phase: Phase) -> WaitReason:
        """Return for what the room is kept that a phase does not get."""
        bounded = not phase.spec.checkpoints
        if bounded and self.room_without_checkpoints < self.open_accelerators:
            return WaitReason.KEPT_FOR_GUARANTEES
        return WaitReason.KEPT_FOR_URGENT

    # Room that is kept for gangs that wait.

    def _may_reserve(self, tier: Tier, phase: Phase, waited_s: float) -> bool:
        return (
            tier <= Tier.LATE
            and waited_s >= self.state.policy.reserve_after_s
            and self.state.reservations.get(phase.id) is None
        )

    def _reserve(self, active, phase: Phase, groups: WorkerGroups) -> None:
        wanted = groups.list_groups(phase.spec, len(phase.tasks))
        most = int(self.state.policy.reserved_share * len(self.usable))
        reservations = self.state.reservations
        kept = reservations.reserve(self.state, phase, wanted, most, self.now_s)
        if kept is None:
            return
        self.state.note(
            "reserved",
            job=phase.id.job_id,
            step=phase.id.step,
            workers=len(kept.workers),
            expected_s=round(kept.free_s - self.now_s, 3),
        )
        for name in sorted(kept.workers):
            self._clear(active, self.state.workers[name])

    def _clear(self, active, worker: FleetWorker) -> None:
        """Stop what is less urgent and keeps its progress."""
        for other, task in self.state.list_tasks_on(worker):
            holder = self.state.jobs[other.id.job_id]
            if holder.priority <= active.priority or not other.spec.checkpoints:
                continue
            self.state.stop(other, task, self.now_s)
            if other.spec.gang:
                for member in other.tasks:
                    self.state.stop(other, member, self.now_s)
                other.closing = True


def place_waiting(state: FleetState, guarantees: dict[str, int], now_s: float) -> bool:
    """Start what can start, make room for what is urgent.

    Returns whether claims are left for a next pass, which may follow at once.
    """
    one = _Pass(state, guarantees, now_s)
    one.run()
    return one.unfinished


def _count_overdue(leeway: Leeway, phase: Phase) -> int:
    """Return how much may start that others' claims have kept waiting for long.

    All where half of the room is idle, one task or gang where it fits twice over. Who
    claims a guarantee may stop it.
    """
    if leeway.any_worker:
        return len(phase.tasks)
    return count_together(phase) if leeway.fits_twice else 0


def _stands(phase: Phase) -> bool:
    """Tell whether nothing of a phase runs; tasks that last count one by one."""
    return phase.is_off_workers or phase.spec.long_running


def _is_one_at_a_time(among: Among, leeway: Leeway) -> bool:
    """Tell whether one task, or a gang, of a phase goes there in one decision."""
    match among:
        case Among.ANY_RACK | Among.RESERVED:
            return True
        case Among.QUARANTINED:
            return not leeway.any_worker
        case _:
            return False


def _count_tasks(worker: FleetWorker) -> int:
    return len(worker.tasks)
