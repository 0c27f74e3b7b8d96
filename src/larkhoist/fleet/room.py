"""Count used and free room, and the room that guarantees leave."""

from collections.abc import Mapping
from dataclasses import dataclass

from larkhoist.fleet.availability import is_limited
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import Phase, TaskState
from larkhoist.fleet.worker import FleetWorker
from larkhoist.ports.fleet import Resources, sum_resources

__all__ = [
    "ServiceRoom",
    "count_room_without_checkpoints",
    "count_service_rooms",
    "count_urgent",
    "get_used_share",
    "is_hard_to_stop",
]


@dataclass(slots=True)
class ServiceRoom:
    """The room of the listed workers of one service, and how much of it is used."""

    used: Resources = Resources()
    total: Resources = Resources()


def count_service_rooms(
    state: FleetState, *, staying: bool = False
) -> dict[str, ServiceRoom]:
    """Return the room by service, including that of cordoned halls.

    With ``staying``, leaving workers and those of cordoned halls are not counted.
    """
    counted: dict[str, list[FleetWorker]] = {}
    for worker in state.workers.values():
        if staying and (worker.leaving or state.is_cordoned(worker)):
            continue
        if worker.listed:
            counted.setdefault(worker.service, []).append(worker)
    return {
        service: ServiceRoom(
            sum_resources([worker.used for worker in workers]),
            sum_resources([worker.capacity for worker in workers]),
        )
        for service, workers in counted.items()
    }


def count_urgent(state: FleetState, now_s: float) -> int:
    """Return how many accelerators urgent jobs use or want now."""
    total = 0
    for active, phase in state.iter_phases():
        if active.priority == 0 and not active.ended and now_s >= phase.due_s:
            left = sum(task.state is not TaskState.DONE for task in phase.tasks)
            total += left * phase.spec.accelerators
    return total


def get_used_share(state: FleetState) -> float:
    """Return the used share (0 to 1) of the resource that is scarcest."""
    workers = [w for w in state.workers.values() if state.is_in_service(w)]
    used = sum_resources([worker.used for worker in workers])
    total = sum_resources([worker.capacity for worker in workers])
    shares = [
        have / of
        for have, of in (
            (used.cpu_milli, total.cpu_milli),
            (used.memory_mb, total.memory_mb),
            (used.accelerators, total.accelerators),
        )
        if of
    ]
    return max(shares, default=1.0)


def count_room_without_checkpoints(
    state: FleetState, guarantees: Mapping[str, int]
) -> int:
    """Return how many more accelerators tasks may take that are hard to stop.

    They must leave the guarantees free. Negative if they already use more.
    """
    total = sum(
        worker.capacity.accelerators
        for worker in state.workers.values()
        if state.is_in_service(worker)
    )
    used = 0
    for active, phase in state.iter_phases():
        if active.priority == 0 or not is_hard_to_stop(phase):
            continue
        used += _count_in_service(state, phase) * phase.spec.accelerators
    return total - sum(guarantees.values()) - used


def is_hard_to_stop(phase: Phase) -> bool:
    """Tell whether tasks lose their work by a stop, or only some may be stopped."""
    return not phase.spec.checkpoints or is_limited(phase)


def _count_in_service(state: FleetState, phase: Phase) -> int:
    """Return how many tasks are on workers outside cordoned halls."""
    running = [task for task in phase.tasks if task.is_on_worker]
    if not state.cordoned_halls:
        return len(running)
    return sum(not state.is_cordoned(state.workers[task.worker]) for task in running)
