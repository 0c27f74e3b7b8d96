"""Log why phases wait, with the numbers that explain each reason."""

from collections import Counter
from dataclasses import dataclass

from larkhoist.fleet.exclusion import count_exclusions, format_exclusions
from larkhoist.fleet.ranking import Tier
from larkhoist.fleet.room import ServiceRoom, count_service_rooms
from larkhoist.fleet.room_search import count_fitting, list_eligible
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import Phase, TaskState
from larkhoist.fleet.waits import WaitReason
from larkhoist.fleet.worker import FleetWorker

__all__ = ["STALL_INTERVAL_S", "WaitNotes"]

STALL_INTERVAL_S = 3.0
"""A phase that waits for this long without the start of a task is logged again, and
then once per such interval. Where there is room, a task must start within this time."""
STALL_EVENT = "stands"
MAX_STALL_NOTES = 8
"""The most such log lines in one decision; the others follow in later ones. With lines
for all of 391 waiting phases on 270 workers, a decision took 339 ms."""


@dataclass(frozen=True, slots=True)
class _RoomCounts:
    """Hold the room on workers that may run a step, as numbers of its tasks.

    ``by_rack`` counts the room on ``usable`` workers, ``held_out`` that on responsive
    workers that get no new tasks, and ``silent`` that on workers whose last call was
    not answered. ``excluded`` is formatted for the log.
    """

    usable: list[FleetWorker]
    by_rack: Counter[str]
    held_out: int
    silent: int
    excluded: str


class WaitNotes:
    """Log why phases wait, within one placement pass."""

    def __init__(self, state: FleetState, used_share: float, now_s: float):
        self._state = state
        self._now_s = now_s
        self._used_share = round(used_share, 3)
        self._room_counts: dict[tuple, _RoomCounts] = {}
        self._service_uses: dict[str, str] | None = None
        self._stall_notes_left = MAX_STALL_NOTES

    def note(
        self,
        phase: Phase,
        reason: WaitReason,
        tier: Tier,
        workers: list[FleetWorker],
        borrowable: int,
        kept_for_urgent: int,
    ) -> None:
        """Log the reason once for each wait, and again while no task starts.

        Only the repeated lines count the room, since that visits every worker.

        ``workers`` are those on which the phase may start now. ``borrowable`` is the
        number of accelerators not needed for guarantees, ``kept_for_urgent`` the number
        kept for urgent tasks.
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
            **(self._describe_stall(phase) if event == STALL_EVENT else {}),
        )

    def _choose_event(self, phase: Phase, reason: WaitReason) -> str:
        if reason not in phase.wait_reasons:
            return "waits"
        is_stalled = self._now_s - phase.unserved_since_s >= STALL_INTERVAL_S
        if not is_stalled or self._now_s < phase.last_noted_s + STALL_INTERVAL_S:
            return ""
        self._stall_notes_left -= 1
        return STALL_EVENT if self._stall_notes_left >= 0 else ""

    def _describe_stall(self, phase: Phase) -> dict[str, object]:
        """Return the log fields that explain why a phase still waits."""
        service = self._state.jobs[phase.id.job_id].job.terms.service
        counts = self._get_room_counts(phase, service)
        return {
            "room_for": counts.by_rack.total(),
            "held_out": counts.held_out,
            "silent": counts.silent,
            "limited_room_for": self._count_limited_room(phase, counts),
            "rack_room_for": _get_rack_room(phase, counts),
            "done": sum(task.state is TaskState.DONE for task in phase.tasks),
            "on_workers": sum(task.is_on_worker for task in phase.tasks),
            "excluded": counts.excluded,
            "service_used": self._get_service_use(service),
        }

    def _get_room_counts(self, phase: Phase, service: str) -> _RoomCounts:
        """Return the room for tasks like those of a phase, counted once per pass."""
        key = (service, phase.spec.label, phase.need)
        if key not in self._room_counts:
            self._room_counts[key] = self._count_room(phase, service)
        return self._room_counts[key]

    def _count_room(self, phase: Phase, service: str) -> _RoomCounts:
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
        return _RoomCounts(usable, by_rack, held_out, silent, excluded)

    def _count_limited_room(self, phase: Phase, counts: _RoomCounts) -> int:
        """Return the room on usable workers within the step's spread limit."""
        need, limit = phase.need, phase.spec.spread_limit
        if not limit:
            return counts.by_rack.total()
        taken = phase.count_taken()
        return sum(
            count_fitting(worker.free, need, limit, taken.get(worker.name, 0))
            for worker in counts.usable
        )

    def _get_service_use(self, service: str) -> str:
        """Format the used shares of a service's cores, memory and accelerators."""
        if self._service_uses is None:
            rooms = count_service_rooms(self._state)
            self._service_uses = {
                name: _format_use(room) for name, room in rooms.items()
            }
        return self._service_uses.get(service, _format_use(ServiceRoom()))


def _get_rack_room(phase: Phase, counts: _RoomCounts) -> int:
    """Return the room in the rack of the step's data, or else the most in one rack."""
    if phase.spec.data_rack:
        return counts.by_rack[phase.spec.data_rack]
    return max(counts.by_rack.values(), default=0)


def _format_use(room: ServiceRoom) -> str:
    pairs = (
        (room.used.cpu_milli, room.total.cpu_milli),
        (room.used.memory_mb, room.total.memory_mb),
        (room.used.accelerators, room.total.accelerators),
    )
    return "/".join(f"{used / total if total else 0:.3f}" for used, total in pairs)
