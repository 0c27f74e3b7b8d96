"""Log why phases wait, with what tells one reason from another."""

from collections import Counter
from dataclasses import dataclass

from larkhoist.fleet.exclusion import count_exclusions, format_exclusions
from larkhoist.fleet.placing import count_fitting, list_eligible
from larkhoist.fleet.ranking import Tier
from larkhoist.fleet.room import ServiceRoom, count_service_rooms
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import Phase, TaskState
from larkhoist.fleet.waits import WaitReason
from larkhoist.fleet.worker import FleetWorker

__all__ = ["STANDS_S", "WaitNotes"]

STANDS_S = 3.0
"""After this time without the start of a task a phase is logged again, and each time
it has passed once more; the users allow no longer where there is room."""
STANDS = "stands"
MOST_STANDS = 8
"""How many such lines one decision writes, the others later: all 391 phases that stood
still on 270 workers made it take 339 ms."""


@dataclass(frozen=True, slots=True)
class _Look:
    """Hold the room of the workers that may run a step, in numbers of its tasks.

    ``by_rack`` counts that of ``usable`` workers; ``excluded`` is for the log.
    """

    usable: list[FleetWorker]
    by_rack: Counter[str]
    held_out: int
    silent: int
    excluded: str


class WaitNotes:
    """Have it logged in one pass why phases wait."""

    def __init__(self, state: FleetState, used_share: float, now_s: float):
        self._state = state
        self._now_s = now_s
        self._used_share = round(used_share, 3)
        self._looks: dict[tuple, _Look] = {}
        self._uses: dict[str, str] | None = None
        self._stands_left = MOST_STANDS

    def note(
        self,
        phase: Phase,
        reason: WaitReason,
        tier: Tier,
        workers: list[FleetWorker],
        borrowable: int,
        kept_for_urgent: int,
    ) -> None:
        """Log the reason once for each wait, and again while the phase stands still.

        Only then room is counted, since that looks at every worker.

        ``workers`` are those that it may go to now, ``borrowable`` the accelerators
        that guarantees leave, ``kept_for_urgent`` those kept for urgent work.
        """
        event = self._choose_event(phase, reason)
        if not event:
            return
        phase.wait_reasons.add(reason)
        phase.last_noted_s = self._now_s
        self._state.note(
            event,
            job=phase.id.job_id,
            run=phase.id.run,
            step=phase.id.step,
            reason=reason.value,
            tier=tier.name.lower(),
            tasks=len(phase.get_waiting()),
            unserved_s=round(self._now_s - phase.unserved_since_s, 3),
            eligible_workers=len(workers),
            free_accelerators=sum(w.free.accelerators for w in workers),
            borrowable=borrowable,
            kept_for_urgent=kept_for_urgent,
            used_share=self._used_share,
            reserved_workers=len(self._state.reservations),
            **(self._describe_stand(phase) if event == STANDS else {}),
        )

    def _choose_event(self, phase: Phase, reason: WaitReason) -> str:
        if reason not in phase.wait_reasons:
            return "waits"
        stands = self._now_s - phase.unserved_since_s >= STANDS_S
        if not stands or self._now_s < phase.last_noted_s + STANDS_S:
            return ""
        self._stands_left -= 1
        return STANDS if self._stands_left >= 0 else ""

    def _describe_stand(self, phase: Phase) -> dict[str, object]:
        """Return what tells why a phase stands that has waited for long.

        ``held_out`` is the room on responsive workers that get no new work, ``silent``
        the room on workers whose last call was not answered.
        """
        service = self._state.jobs[phase.id.job_id].job.terms.service
        look = self._get_look(phase, service)
        return {
            "room_for": look.by_rack.total(),
            "held_out": look.held_out,
            "silent": look.silent,
            "limited_room_for": self._count_limited_room(phase, look),
            "rack_room_for": _get_rack_room(phase, look),
            "done": sum(task.state is TaskState.DONE for task in phase.tasks),
            "on_workers": sum(task.is_on_worker for task in phase.tasks),
            "excluded": look.excluded,
            "service_used": self._get_use(service),
        }

    def _get_look(self, phase: Phase, service: str) -> _Look:
        """Return the room for what a phase needs, counted once in a pass."""
        key = (service, phase.spec.label, phase.need)
        if key not in self._looks:
            self._looks[key] = self._look_anew(phase, service)
        return self._looks[key]

    def _look_anew(self, phase: Phase, service: str) -> _Look:
        state, now_s = self._state, self._now_s
        workers = list_eligible(state.workers.values(), service, phase.spec)
        usable: list[FleetWorker] = []
        by_rack: Counter[str] = Counter()
        held_out = silent = 0
        for worker in workers:
            fitting = worker.free.count_fitting(phase.need)
            if state.is_usable(worker, now_s):
                usable.append(worker)
                by_rack[worker.rack] += fitting
            elif worker.listed and not worker.leaving and not worker.silent:
                held_out += fitting
            elif worker.listed and not worker.leaving:
                silent += fitting
        excluded = format_exclusions(count_exclusions(state, workers, now_s))
        return _Look(usable, by_rack, held_out, silent, excluded)

    def _count_limited_room(self, phase: Phase, look: _Look) -> int:
        """Return the room on usable workers within the step's spread limit."""
        need, limit = phase.need, phase.spec.spread_limit
        if not limit:
            return look.by_rack.total()
        taken = phase.count_taken()
        return sum(
            count_fitting(worker.free, need, limit, taken.get(worker.name, 0))
            for worker in look.usable
        )

    def _get_use(self, service: str) -> str:
        """Return the used shares of processor, memory and accelerators."""
        if self._uses is None:
            rooms = count_service_rooms(self._state)
            self._uses = {name: _format_use(room) for name, room in rooms.items()}
        return self._uses.get(service, _format_use(ServiceRoom()))


def _get_rack_room(phase: Phase, look: _Look) -> int:
    """Return the most room in one rack, or in that of the step's data."""
    if phase.spec.data_rack:
        return look.by_rack[phase.spec.data_rack]
    return max(look.by_rack.values(), default=0)


def _format_use(room: ServiceRoom) -> str:
    pairs = (
        (room.used.cpu_milli, room.total.cpu_milli),
        (room.used.memory_mb, room.total.memory_mb),
        (room.used.accelerators, room.total.accelerators),
    )
    return "/".join(f"{used / total if total else 0:.3f}" for used, total in pairs)
