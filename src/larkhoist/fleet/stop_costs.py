"""Work out what room on one worker costs: whom to stop there for each further task."""

from collections import deque

import msgspec

from larkhoist.fleet.victim import Victim
from larkhoist.ports.fleet import Resources

__all__ = ["LocalVictim", "Slot", "list_slots", "make_local"]


class LocalVictim(msgspec.Struct, frozen=True, gc=False, eq=False):
    """Hold a victim as one worker sees it.

    ``gain`` is the room that its tasks take there, ``cost`` their part of its cost,
    in core-seconds.
    """

    victim: Victim
    gain: Resources
    cost: float


class Slot(msgspec.Struct, frozen=True):
    """Hold the victims whose stop makes room for one more task, and their cost."""

    cost: float
    victims: tuple[Victim, ...]


NO_STOP = Slot(0.0, ())


def make_local(victim: Victim, worker: str) -> LocalVictim:
    """Return a victim as ``worker`` sees it."""
    here = sum(task.worker == worker for task in victim.tasks)
    gain = victim.phase.need
    if here > 1:
        gain = gain.scale(here)
    return LocalVictim(victim, gain, victim.cost * here / len(victim.tasks))


def list_slots(
    free: Resources, need: Resources, victims: list[LocalVictim]
) -> tuple[Slot, ...]:
    """Return a slot for each task that ``free`` and the victims have room for.

    Victims that cost the least for what the worker lacks go first; one that turns out
    needless for a slot is left for later ones.
    """
    slots = [NO_STOP] * free.count_fitting(need)
    lacking = need - free
    ranked = sorted(victims, key=lambda one: one.cost / _weigh(one.gain, lacking))
    waiting = deque(ranked)
    room = free
    added: list[LocalVictim] = []
    while waiting:
        local = waiting.popleft()
        added.append(local)
        room += local.gain
        while room.count_fitting(need) > len(slots):
            kept, room = _drop_needless(added, room, need, len(slots) + 1)
            cost = sum([one.cost for one in kept])
            slots.append(Slot(cost, tuple([one.victim for one in kept])))
            if len(kept) < len(added):
                waiting.extend(one for one in added if one not in kept)
            added = []
    return tuple(slots)


def _weigh(gain: Resources, lacking: Resources) -> float:
    """Return which part of what is lacking a stop frees, of what it frees the most."""
    share = 1e-3
    if lacking.accelerators > 0:
        share = max(share, gain.accelerators / lacking.accelerators)
    if lacking.cpu_milli > 0:
        share = max(share, gain.cpu_milli / lacking.cpu_milli)
    if lacking.memory_mb > 0:
        share = max(share, gain.memory_mb / lacking.memory_mb)
    return min(share, 1.0)


def _drop_needless(
    added: list[LocalVictim], room: Resources, need: Resources, slots: int
) -> tuple[list[LocalVictim], Resources]:
    """Keep of the victims of a slot those that it does not do without."""
    kept = list(added)
    if len(kept) == 1:
        return kept, room
    for local in sorted(added, key=lambda one: -one.cost):
        less = room - local.gain
        if less.count_fitting(need) >= slots:
            room = less
            kept.remove(local)
    return kept, room
