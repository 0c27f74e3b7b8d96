"""Place waiting phases on workers, in the order of their ranks."""

import math
from collections.abc import Generator, Iterator

import msgspec

from larkhoist.fleet.availability import is_limited, list_stoppable
from larkhoist.fleet.eligibility import Eligibility
from larkhoist.fleet.leeway import Leeway, count_together
from larkhoist.fleet.ranking import CriticalPaths, Rank, Tier, rank_phase
from larkhoist.fleet.room import (
    count_room_without_checkpoints,
    count_urgent,
    get_used_share,
    is_hard_to_stop,
)
from larkhoist.fleet.room_maker import RoomMaker
from larkhoist.fleet.room_search import WorkerGroup, WorkerGroups, find_places
from larkhoist.fleet.shapes import SearchScope, Shape, make_shape
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.fleet.timeliness import get_latest_start_s, get_max_factor
from larkhoist.fleet.wait_notes import WaitNotes
from larkhoist.fleet.waits import WaitReason
from larkhoist.fleet.worker import FleetWorker

__all__ = ["place_waiting"]

PHASES_RANKED_PER_PART = 1000
PHASES_PLACED_PER_PART = 100
"""How many phases are visited before the caller may do other work. The placement of one
takes up to some 0.2 ms, without a search for victims."""
SPEED_CLASS_LOG_WIDTH = math.log(1.2)
"""Width of a speed class, as the logarithm of a ratio of run times: workers that differ
by less than about 20 % count as equally fast."""
VICTIM_SEARCHES_PER_PASS = 4
"""How many phases may search for victims in one pass; the others search in the next
pass, which follows at once.

Bounds how long one pass blocks the owner: without it, 100 gangs that searched at the
same time on 270 workers took 3.6 s in one pass; with it, a pass takes up to 59 ms.
"""
VICTIM_SEARCH_PAUSE_S = 0.25
"""How long a phase waits before its next search for victims after one that found none
worth stopping. Meanwhile running work may free room, and other phases can search."""
FIRM_SPEED_WAIT_S = 1.0
"""After this wait, guaranteed work takes workers of any speed: it must have started all
tasks of its first step 2.7 s after its acceptance, and a stop takes up to 0.9 s."""
APART_WAIT_S = 1.0
"""How long a task whose worker crashed waits for a worker that runs no other such task.
If two of them share a worker and it crashes, both are blamed, though one may be
harmless: with two tasks that crashed their workers for 20 s, three harmless tasks ran
beside them at least twice. Must be below the 2.7 s within which urgent work must start.
"""


class _Waiting(msgspec.Struct, frozen=True):
    """A phase that could start, and its rank."""

    rank: Rank
    active: ActiveJob
    phase: Phase


class _Pass:
    """One pass over the waiting phases, with the state that they share."""

    def __init__(self, state: FleetState, guarantees: dict[str, int], now_s: float):
        self.state = state
        self.now_s = now_s
        self.room_maker = RoomMaker(state, now_s)
        self.searches_left = VICTIM_SEARCHES_PER_PASS
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
        self.available_accelerators = free - self.kept_for_urgent
        used_share = get_used_share(state)
        self.notes = WaitNotes(state, used_share, now_s)
        self.mostly_idle = used_share < state.policy.idle_share
        self.uneven = state.speeds.is_uneven
        self.paths = CriticalPaths(state.runtimes)

    def run(self) -> Iterator[None]:
        """Rank and place the phases; yield where the caller may do other work."""
        waiting = []
        for number, (active, phase) in enumerate(self.state.iter_phases(), 1):
            if number % PHASES_RANKED_PER_PART == 0:
                yield
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
        for number, one in enumerate(waiting, 1):
            self._place(one.rank, one.active, one.phase)
            if number % PHASES_PLACED_PER_PART == 0:
                yield

    def _rank(self, active: ActiveJob, phase: Phase) -> Rank:
        state = self.state
        return rank_phase(active, phase, self.paths, state.policy, self.now_s)

    def _place(self, rank: Rank, active: ActiveJob, phase: Phase) -> None:
        tier = rank.tier
        leeway = self.eligible.get_leeway(active, phase)
        if phase.plan:
            if self.room_maker.start_planned(phase):
                # A dropped plan frees room, so shapes that failed may fit now.
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
            if self._place_on_time(rank, leeway, active, phase, groups):
                return
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
            self._search_victims(rank, active, phase, groups)
        elif may_reserve:
            self._reserve(active, phase, groups)

    def _place_on_time(
        self, rank: Rank, leeway: Leeway, active: ActiveJob, phase: Phase, groups
    ) -> bool:
        """Place an urgent or guaranteed phase on workers on which it is on time.

        Victims there come before free room on slower workers. Returns whether nothing
        is left to do in this pass.
        """
        fast = self._get_fast_groups(rank.tier, leeway, active, phase, groups)
        if fast is None:
            return False
        reason = self._start(
            rank.tier, leeway, active, phase, fast, limited_to=fast.whole
        )
        if reason is None:
            phase.wait_reasons.clear()
            return True
        if reason is not WaitReason.NO_ROOM or self.now_s < phase.next_victim_search_s:
            return False
        if self.searches_left:
            self.searches_left -= 1
            if not self._stop_on_fast(rank.tier, leeway, active, phase, groups):
                return False
        else:
            self.unfinished = True
        self._note_wait(phase, reason, rank.tier, fast.whole.workers)
        return True

    def _stop_on_fast(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase, groups
    ) -> bool:
        """Stop victims on workers on which a phase is on time even after the stops."""
        start_s = self.now_s + self.state.policy.stop_s
        fast = self._get_fast_groups(tier, leeway, active, phase, groups, start_s)
        if fast is None:
            return False
        factors = [self.eligible.get_factor(w) for w in fast.whole.workers]
        latest_s = get_latest_start_s(active, phase, factors)
        return self.room_maker.make_room(
            active, phase, fast, latest_s, preferred_only=True
        )

    def _get_fast_groups(
        self,
        tier: Tier,
        leeway: Leeway,
        active: ActiveJob,
        phase: Phase,
        groups,
        start_s: float | None = None,
    ) -> WorkerGroups | None:
        """Return the workers on which an urgent phase is on time, if it needs them.

        ``start_s`` is when it would start, by default now. None if it is on time on
        all of them, if those on which it is could not hold it, or if it has waited for
        so long that speeds no longer count.
        """
        if not self.uneven or tier > Tier.URGENT or leeway.overdue:
            return None
        waited_s = self.now_s - phase.waiting_since_s
        if active.firm and waited_s >= FIRM_SPEED_WAIT_S:
            return None
        most = get_max_factor(active, phase, start_s or self.now_s)
        fast = self.eligible.select_by_speed(groups, most)
        if fast is groups or not fast.can_hold(phase.spec, len(phase.tasks)):
            return None
        return fast

    def _search_victims(
        self, rank: Rank, active: ActiveJob, phase: Phase, groups
    ) -> None:
        """Search for victims, unless this phase or pass has to postpone the search."""
        if self.now_s < phase.next_victim_search_s:
            return
        if not self.searches_left:
            self.unfinished = True
            return
        self.searches_left -= 1
        if not self.room_maker.make_room(active, phase, groups, rank.order):
            phase.next_victim_search_s = self.now_s + VICTIM_SEARCH_PAUSE_S

    def _start_apart(
        self, tier, leeway, active, phase
    ) -> tuple[WorkerGroups, WaitReason | None]:
        """Start tasks one by one, each on a worker without tasks that may crash it."""
        while True:
            left = len(phase.get_waiting())
            groups = self.eligible.get_groups(tier, leeway, active, phase)
            groups = self.eligible.exclude_suspects(groups)
            reason = self._start(tier, leeway, active, phase, groups, SearchScope.APART)
            if reason is None or len(phase.get_waiting()) == left:
                return groups, reason

    def _start_overdue(
        self, tier, leeway: Leeway, active, phase: Phase, reason: WaitReason
    ) -> WaitReason | None:
        """Start an overdue phase on workers that it would normally avoid.

        These are, in order: workers on which it has failed, workers in quarantine
        (which lasts at least half a minute), other racks, and workers reserved for
        others. ``reason`` is why the phase has not started yet.
        """
        left = len(phase.get_waiting())
        for scope in self._list_last_resorts(leeway, phase):
            groups = self._get_last_resort(scope, tier, leeway, active, phase)
            reason = self._start(tier, leeway, active, phase, groups, scope)
            if reason is None or len(phase.get_waiting()) < left:
                break
        return reason

    def _list_last_resorts(self, leeway: Leeway, phase: Phase) -> list[SearchScope]:
        """Return where an overdue phase may search for room, in order."""
        last_resorts = (
            (any(task.failed_on for task in phase.tasks), SearchScope.USABLE),
            (self._may_probe(leeway, phase), SearchScope.QUARANTINED),
            (self._may_leave_rack(leeway, phase), SearchScope.ANY_RACK),
            (self._may_use_reserved(leeway, phase), SearchScope.RESERVED),
        )
        return [scope for applies, scope in last_resorts if applies]

    def _get_last_resort(
        self, scope: SearchScope, tier: Tier, leeway: Leeway, active, phase: Phase
    ) -> WorkerGroups:
        match scope:
            case SearchScope.QUARANTINED:
                return self.eligible.add_quarantined(tier, leeway, active, phase)
            case SearchScope.RESERVED:
                return self.eligible.list_usable(active, phase)
            case _:
                return self.eligible.list_unreserved(tier, leeway, active, phase)

    def _may_probe(self, leeway: Leeway, phase: Phase) -> bool:
        """Tell whether a phase may try workers in quarantine.

        If more than half of each resource that it needs is in use, only a phase with
        no running tasks may.
        """
        if not self.eligible.quarantined or not leeway.fits_twice:
            return False
        return leeway.any_worker or _has_none_running(phase)

    def _may_leave_rack(self, leeway: Leeway, phase: Phase) -> bool:
        """Tell whether a phase may leave its racks though its leeway alone forbids it.

        Only a phase with no running tasks may.
        """
        spec = phase.spec
        if leeway.any_rack or not (spec.same_rack or spec.data_rack):
            return False
        return leeway.fits_twice and _has_none_running(phase)

    def _may_use_reserved(self, leeway: Leeway, phase: Phase) -> bool:
        """Tell whether a phase may use workers reserved for others.

        Only a phase with no running tasks may, one task or gang at a time, because it
        delays the phases for which the workers are reserved.
        """
        if not len(self.state.reservations):
            return False
        return leeway.fits_twice and _has_none_running(phase)

    def _start(
        self,
        tier,
        leeway: Leeway,
        active,
        phase,
        groups,
        scope: SearchScope = SearchScope.PREFERRED,
        limited_to: WorkerGroup | None = None,
    ) -> WaitReason | None:
        """Start the tasks that find room.

        ``limited_to`` is the group of ``groups`` if they were selected by speed.
        Returns why tasks are left waiting, or None if all have started.
        """
        count = len(phase.get_waiting())
        if scope is SearchScope.APART and not phase.spec.gang:
            count = 1
        if _is_one_at_a_time(scope, leeway):
            count = min(count, count_together(phase))
        if not self.mostly_idle or is_limited(phase):
            allowed = self._count_allowed(active, phase, count)
            if leeway.overdue:
                allowed = max(allowed, _count_allowed_overdue(leeway, phase))
            count = min(count, allowed)
        if not groups.whole.workers:
            return WaitReason.NO_WORKER
        if count == 0 or phase.spec.gang and count < len(phase.tasks):
            return self._get_kept_reason(phase)
        # Room only shrinks within a pass, so a search that failed need not be repeated.
        own = phase.id if self.state.reservations.get(phase.id) else None
        shape = make_shape(active, phase, tier, leeway, count, own, scope, limited_to)
        if shape in self.failed:
            return WaitReason.NO_ROOM
        search = (groups, tier, phase, count)
        anywhere = leeway.any_rack or scope in (
            SearchScope.ANY_RACK,
            SearchScope.RESERVED,
        )
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
        """Search unreserved workers first for urgent work, which may use any worker."""
        if tier > Tier.URGENT or not len(self.state.reservations):
            return []
        is_open_to = self.state.reservations.is_open_to
        workers = [w for w in groups.whole.workers if is_open_to(w.name, phase.id)]
        rest = WorkerGroups(workers)
        return self._find_places(rest, tier, phase, count, anywhere=anywhere)

    def _start_elsewhere(
        self, tier: Tier, leeway: Leeway, active: ActiveJob, phase: Phase
    ) -> None:
        """Start a phase that waits for victims to stop, if all of it fits elsewhere.

        The phase waits for the slowest stop (median 0.45 s, at most 0.9 s), and other
        tasks may end before that. Gains 0.015 of the worth
        served (standard error 0.008).
        """
        plan = dict(phase.plan)
        self.state.release_plan(phase)
        groups = self.eligible.get_groups(tier, leeway, active, phase)
        groups = self._get_fast_groups(tier, leeway, active, phase, groups) or groups
        search = (groups, tier, phase, len(plan))
        places = self._find_places(*search, anywhere=leeway.any_rack)
        if len(places) == len(plan):
            self._assign(active, phase, places)
        else:
            self.state.hold_plan(phase, plan)

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
            self._choose_sort_key(tier, phase),
        )

    def _has_suspects(self, phase: Phase) -> bool:
        if not self.state.suspects:
            return False
        return any(task.lost.blamed for task in phase.get_waiting())

    def _choose_sort_key(self, tier: Tier, phase: Phase):
        """Return the key by which workers are preferred, None for the least room.

        Tasks that may crash their worker go where the fewest tasks run: on 270 workers
        this reduced the runs of others that they ended from 29 to 14 a day.
        """
        if self._has_suspects(phase):
            return _count_tasks
        if tier <= Tier.URGENT or phase.spec.gang:
            return self._get_speed_class
        return None

    def _get_speed_class(self, worker: FleetWorker) -> int:
        factor = self.state.speeds.get_factor(worker.name)
        return round(math.log(factor) / SPEED_CLASS_LOG_WIDTH)

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
        self.available_accelerators -= taken
        if active.priority != 0 and is_hard_to_stop(phase):
            self.room_without_checkpoints -= taken
        by_index = {task.index: name for task, name in zip(chosen, places, strict=True)}
        self.state.assign(phase, by_index, self.now_s)
        self.eligible.clear_room_counts()

    def _count_allowed(self, active: ActiveJob, phase: Phase, wanted: int) -> int:
        """Return how many tasks may start without taking room that is kept.

        Room is kept from all but urgent work for what urgent work may need, and from
        tasks that are hard to stop for guarantees as well.
        """
        spec = phase.spec
        if active.priority == 0 or not spec.accelerators:
            return wanted
        room = self.available_accelerators
        if is_hard_to_stop(phase):
            room = min(room, self.room_without_checkpoints)
        return max(0, room) // spec.accelerators

    def _get_kept_reason(self, phase: Phase) -> WaitReason:
        """Return which kind of work the room is kept for that a phase may not use."""
        bounded = is_hard_to_stop(phase)
        if bounded and self.room_without_checkpoints < self.available_accelerators:
            return WaitReason.KEPT_FOR_GUARANTEES
        return WaitReason.KEPT_FOR_URGENT

    # Reservations for waiting gangs.

    def _may_reserve(self, tier: Tier, phase: Phase, waited_s: float) -> bool:
        return (
            tier <= Tier.LATE
            and waited_s >= self.state.policy.reserve_after_s
            and self.state.reservations.get(phase.id) is None
        )

    def _reserve(self, active, phase: Phase, groups: WorkerGroups) -> None:
        wanted = groups.list_groups(phase.spec, len(phase.tasks))
        max_reserved = int(self.state.policy.reserved_share * len(self.usable))
        reservations = self.state.reservations
        reservation = reservations.reserve(
            self.state, phase, wanted, max_reserved, self.now_s
        )
        if reservation is None:
            return
        self.state.note(
            "reserved",
            job=phase.id.job_id,
            step=phase.id.step,
            workers=len(reservation.workers),
            expected_s=round(reservation.free_s - self.now_s, 3),
        )
        for name in sorted(reservation.workers):
            self._stop_checkpointed(active, self.state.workers[name])

    def _stop_checkpointed(self, active, worker: FleetWorker) -> None:
        """Stop less urgent tasks on a worker that write checkpoints."""
        for other, task in self.state.list_tasks_on(worker):
            holder = self.state.jobs[other.id.job_id]
            if holder.priority <= active.priority or not other.spec.checkpoints:
                continue
            if task not in list_stoppable(other, [task]):
                continue
            self.state.stop(other, task, self.now_s)
            if other.spec.gang:
                for member in other.tasks:
                    self.state.stop(other, member, self.now_s)
                other.closing = True


def place_waiting(
    state: FleetState, guarantees: dict[str, int], now_s: float
) -> Generator[None, None, bool]:
    """Start the phases that find room, and stop others to make room for urgent ones.

    Yields after a bounded number of phases; the state must not change in between.
    Returns whether phases still have to search for victims. The next pass may follow at
    once.
    """
    one = _Pass(state, guarantees, now_s)
    yield from one.run()
    return one.unfinished


def _count_allowed_overdue(leeway: Leeway, phase: Phase) -> int:
    """Return how many tasks of an overdue phase may use room kept for other work.

    All of them where half of some resource that it needs is idle, else one task or
    gang if there is room for two. Work within a guarantee may still stop them.
    """
    if leeway.any_worker:
        return len(phase.tasks)
    return count_together(phase) if leeway.fits_twice else 0


def _has_none_running(phase: Phase) -> bool:
    """Tell whether no task of a phase runs.

    True for any long-running step, since each of its tasks counts on its own.
    """
    return phase.is_off_workers or phase.spec.long_running


def _is_one_at_a_time(scope: SearchScope, leeway: Leeway) -> bool:
    """Tell whether only one task or gang may start in this scope at a time."""
    match scope:
        case SearchScope.ANY_RACK | SearchScope.RESERVED:
            return True
        case SearchScope.QUARANTINED:
            return not leeway.any_worker
        case _:
            return False


def _count_tasks(worker: FleetWorker) -> int:
    return len(worker.tasks)
