"""Compute which victims to stop on a worker for each further task, and their cost."""

from collections import deque
from collections.abc import Iterator

import msgspec

from larkhoist.fleet.victim import Victim
from larkhoist.ports.fleet import Resources

__all__ = ["Slot", "SlotCurve", "WorkerVictim", "make_worker_victim"]


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


class SlotCurve:
    """The slots of a worker in order of use, computed as far as they are asked for.

    A small task, or one that needs nothing, fits many times into a worker. There are
    only as many slots in memory as a step has tasks.
    """

    def __init__(self, free: Resources, need: Resources, victims: list[WorkerVictim]):
        self.free = free
        self._free_count = free.count_fitting(need)
        self._slots: list[Slot] = []
        self._more = _iter_slots(free, need, victims, self._free_count)

    def get(self, number: int) -> Slot | None:
        """Return slot ``number`` from 0 on, None if the worker has fewer."""
        place = number - self._free_count
        if place < 0:
            return FREE_SLOT
        while len(self._slots) <= place:
            slot = next(self._more, None)
            if slot is None:
                return None
            self._slots.append(slot)
        return self._slots[place]


def _iter_slots(
    free: Resources, need: Resources, victims: list[WorkerVictim], free_count: int
) -> Iterator[Slot]:
    """Yield a slot for each task that fits into the room of victims.

    ``free_count`` more fit into ``free``. Victims with the lowest cost for the share of
    the lacking room that they free come first. A victim that a slot turns out not to
    need is used for later slots.
    """
    lacking = need - free
    ranked = sorted(
        victims,
        key=lambda candidate: (
            candidate.cost / _get_freed_share(candidate.gain, lacking)
        ),
    )
    remaining = deque(ranked)
    room = free
    count = free_count
    added: list[WorkerVictim] = []
    while remaining:
        local = remaining.popleft()
        added.append(local)
        room += local.gain
        while room.count_fitting(need) > count:
            count += 1
            kept, room = _drop_unneeded(added, room, need, count)
            cost = sum([candidate.cost for candidate in kept])
            if len(kept) < len(added):
                remaining.extend(
                    candidate for candidate in added if candidate not in kept
                )
            added = []
            yield Slot(cost, tuple([candidate.victim for candidate in kept]))


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
