"""Compute which victims to stop on a worker for each further task, and their cost."""

from collections import deque

import msgspec

from larkhoist.fleet.victim import Victim
from larkhoist.ports.fleet import Resources

__all__ = ["WorkerVictim", "Slot", "list_slots", "make_worker_victim"]


class WorkerVictim(msgspec.Struct, frozen=True, gc=False, eq=False):
    """Hold the part of a victim that runs on one worker.

    ``gain`` is the room that its tasks use there, ``cost`` their share of the victim's
    cost in core-seconds.
    """

    victim: Victim
    gain: Resources
    cost: float


class Slot(msgspec.Struct, frozen=True):
    """Hold the victims to stop to make room for one more task, and their cost."""

    cost: float
    victims: tuple[Victim, ...]


FREE_SLOT = Slot(0.0, ())


def make_worker_victim(victim: Victim, worker: str) -> WorkerVictim:
    """Return the part of a victim that runs on ``worker``."""
    task_count = sum(task.worker == worker for task in victim.tasks)
    gain = victim.phase.need
    if task_count > 1:
        gain = gain.scale(task_count)
    return WorkerVictim(victim, gain, victim.cost * task_count / len(victim.tasks))


def list_slots(
    free: Resources, need: Resources, victims: list[WorkerVictim]
) -> tuple[Slot, ...]:
    """Return a slot for each task that fits into ``free`` and the victims' room.

    Victims with the lowest cost for the share of the lacking room that they free come
    first. A victim that a slot turns out not to need is used for later slots.
    """
    slots = [FREE_SLOT] * free.count_fitting(need)
    lacking = need - free
    ranked = sorted(
        victims,
        key=lambda candidate: (
            candidate.cost / _get_freed_share(candidate.gain, lacking)
        ),
    )
    remaining = deque(ranked)
    room = free
    added: list[WorkerVictim] = []
    while remaining:
        local = remaining.popleft()
        added.append(local)
        room += local.gain
        while room.count_fitting(need) > len(slots):
            kept, room = _drop_unneeded(added, room, need, len(slots) + 1)
            cost = sum([candidate.cost for candidate in kept])
            slots.append(Slot(cost, tuple([candidate.victim for candidate in kept])))
            if len(kept) < len(added):
                remaining.extend(
                    candidate for candidate in added if candidate not in kept
                )
            added = []
    return tuple(slots)


def _get_freed_share(gain: Resources, lacking: Resources) -> float:
    """Return the largest share of a lacking resource in ``gain``, from 0.001 to 1."""
    share = 1e-3
    if lacking.accelerators > 0:
        share = max(share, gain.accelerators / lacking.accelerators)
    if lacking.cpu_milli > 0:
        share = max(share, gain.cpu_milli / lacking.cpu_milli)
    if lacking.memory_mb > 0:
        share = max(share, gain.memory_mb / lacking.memory_mb)
    return min(share, 1.0)


def _drop_unneeded(
    added: list[WorkerVictim], room: Resources, need: Resources, slots: int
) -> tuple[list[WorkerVictim], Resources]:
    """Drop the victims that a slot does not need, those of the highest cost first."""
    kept = list(added)
    if len(kept) == 1:
        return kept, room
    for local in sorted(added, key=lambda candidate: -candidate.cost):
        room_without = room - local.gain
        if room_without.count_fitting(need) >= slots:
            room = room_without
            kept.remove(local)
    return kept, room
