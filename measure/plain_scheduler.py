"""Schedule jobs in plain ways, to compare with.

The queue is served in the order of arrival and whatever fits is placed; nothing
is reserved, reclaimed or learned.
"""

from collections.abc import Callable
from enum import Enum

from larkhoist.log.objects import JobSpec
from larkhoist.placement.blocks import count_blocks, get_level, make_mask
from larkhoist.placement.index import FreeIndex, MemberPlace

__all__ = ["Fit", "find_plainly"]


class Fit(Enum):
    """Name the plain ways to choose workers."""

    FIRST = "first fit"
    BEST = "best fit"
    SPREAD = "spread"


def find_plainly(index: FreeIndex, spec: JobSpec, fit: Fit) -> list[MemberPlace] | None:
    """Return places for a gang by one plain way, or None."""
    if spec.adjacency == "worker":
        return _find_in_one(index, spec, fit)
    level = get_level(spec.accelerators)
    racks = index.iter_racks()
    if spec.adjacency == "hall":
        groups = [[n for r in racks for n in index.get_rack_workers(r)]]
    else:
        groups = [index.get_rack_workers(rack) for rack in racks]
    fitting = []
    for names in groups:
        room = sum(count_blocks(index.get_free(name), level) for name in names)
        if room >= spec.members:
            fitting.append((room, names))
    if not fitting:
        return None
    _, names = _choose(fitting, lambda item: item[0], fit)
    return _fill(index, names, spec, level, fit)


def _find_in_one(index, spec, fit) -> list[MemberPlace] | None:
    level = get_level(spec.total)
    names = [n for r in index.iter_racks() for n in index.get_rack_workers(r)]
    fitting = [n for n in names if count_blocks(index.get_free(n), level)]
    if not fitting:
        return None
    name = _choose(fitting, lambda n: index.get_free(n).bit_count(), fit)
    start = _find_start(index.get_free(name), level)
    return [
        MemberPlace(name, make_mask(spec.accelerators) << start + i * spec.accelerators)
        for i in range(spec.members)
    ]


def _fill(index, names, spec, level, fit) -> list[MemberPlace]:
    free = {name: index.get_free(name) for name in names}
    places: list[MemberPlace] = []
    while len(places) < spec.members:
        fitting = [name for name in names if count_blocks(free[name], level)]
        name = _choose(fitting, lambda n: free[n].bit_count(), fit)
        mask = make_mask(spec.accelerators) << _find_start(free[name], level)
        free[name] &= ~mask
        places.append(MemberPlace(name, mask))
    return places


def _choose(items: list, key: Callable, fit: Fit):
    match fit:
        case Fit.FIRST:
            return items[0]
        case Fit.BEST:
            return min(items, key=key)
        case Fit.SPREAD:
            return max(items, key=key)


def _find_start(free: int, level: int) -> int:
    size = 1 << level
    block = make_mask(size)
    start = 0
    while free >> start & block != block:
        start += size
    return start
