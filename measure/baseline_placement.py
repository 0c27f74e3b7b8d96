"""Choose places with simple baseline methods, for comparison.

The caller tries jobs in the order of arrival and places each one that fits. Nothing
is reserved or reclaimed, and no run times are learned.
"""

from collections.abc import Callable
from enum import Enum

from larkhoist.log.objects import JobSpec
from larkhoist.placement.blocks import count_blocks, get_level, make_mask
from larkhoist.placement.index import FreeIndex, MemberPlace

__all__ = ["BaselineFit", "find_baseline_places"]


class BaselineFit(Enum):
    """Baseline methods to choose workers; the values are printed in reports."""

    FIRST = "first fit"
    BEST = "best fit"
    SPREAD = "spread"


def find_baseline_places(
    index: FreeIndex, spec: JobSpec, fit: BaselineFit
) -> list[MemberPlace] | None:
    """Return places for a gang according to ``fit``, or None if it does not fit."""
    if spec.adjacency == "worker":
        return _find_in_one_worker(index, spec, fit)
    level = get_level(spec.accelerators)
    racks = index.iter_racks()
    if spec.adjacency == "hall":
        groups = [[n for r in racks for n in index.get_rack_workers(r)]]
    else:
        groups = [index.get_rack_workers(rack) for rack in racks]
    candidates = []
    for names in groups:
        room = sum(count_blocks(index.get_free(name), level) for name in names)
        if room >= spec.members:
            candidates.append((room, names))
    if not candidates:
        return None
    _, names = _choose(candidates, lambda item: item[0], fit)
    return _fill(index, names, spec, level, fit)


def _find_in_one_worker(index, spec, fit) -> list[MemberPlace] | None:
    level = get_level(spec.total)
    names = [n for r in index.iter_racks() for n in index.get_rack_workers(r)]
    candidates = [n for n in names if count_blocks(index.get_free(n), level)]
    if not candidates:
        return None
    name = _choose(candidates, lambda n: index.get_free(n).bit_count(), fit)
    start = _find_start(index.get_free(name), level)
    return [
        MemberPlace(name, make_mask(spec.accelerators) << start + i * spec.accelerators)
        for i in range(spec.members)
    ]


def _fill(index, names, spec, level, fit) -> list[MemberPlace]:
    free = {name: index.get_free(name) for name in names}
    places: list[MemberPlace] = []
    while len(places) < spec.members:
        candidates = [name for name in names if count_blocks(free[name], level)]
        name = _choose(candidates, lambda n: free[n].bit_count(), fit)
        mask = make_mask(spec.accelerators) << _find_start(free[name], level)
        free[name] &= ~mask
        places.append(MemberPlace(name, mask))
    return places


def _choose(items: list, key: Callable, fit: BaselineFit):
    match fit:
        case BaselineFit.FIRST:
            return items[0]
        case BaselineFit.BEST:
            return min(items, key=key)
        case BaselineFit.SPREAD:
            return max(items, key=key)


def _find_start(free: int, level: int) -> int:
    size = 1 << level
    block = make_mask(size)
    start = 0
    while free >> start & block != block:
        start += size
    return start
