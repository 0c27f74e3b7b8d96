"""Keep every unclaimed guarantee coverable by free or reclaimable cells.

A cell is a power-of-two block: inside a worker up to its size, above that whole
workers of one rack. Sizes divide each other, so counting from the largest cell
down tells exactly whether a set of cells fits.
"""

from collections import Counter
from collections.abc import Iterable

from larkhoist.log.objects import Cell, JobSpec
from larkhoist.placement.blocks import get_level
from larkhoist.placement.index import FreeIndex

__all__ = ["can_cover", "count_cells", "get_needed_cells", "subtract_claims"]


def count_cells(cells: Iterable[Cell]) -> Counter[int]:
    """Return how many cells there are of each level."""
    counts: Counter[int] = Counter()
    for cell in cells:
        counts[get_level(cell.accelerators)] += cell.count
    return counts


def get_needed_cells(spec: JobSpec) -> Counter[int]:
    """Return the cells that a job claims of its customer's guarantee."""
    if spec.adjacency == "hall":
        return Counter({get_level(spec.accelerators): spec.members})
    if spec.adjacency == "rack" and spec.members > 1:
        total = spec.members << get_level(spec.accelerators)
        return Counter({get_level(total): 1})
    return Counter({get_level(spec.total): 1})


def subtract_claims(
    guarantee: Counter[int], claims: Iterable[Counter[int]]
) -> Counter[int] | None:
    """Return the cells left of a guarantee, or None where claims exceed it.

    A claim takes the smallest sufficient cell and leaves the halves of it.
    """
    left = Counter(guarantee)
    wanted: Counter[int] = Counter()
    for claim in claims:
        wanted.update(claim)
    for level in sorted(wanted, reverse=True):
        for _ in range(wanted[level]):
            if not _take_cell(left, level):
                return None
    return left


def _take_cell(left: Counter[int], level: int) -> bool:
    sufficient = [at for at, count in left.items() if at >= level and count > 0]
    if not sufficient:
        return False
    found = min(sufficient)
    left[found] -= 1
    for split in range(level, found):
        left[split] += 1
    return True


def can_cover(
    index: FreeIndex, cells: Counter[int], worker_size: int
) -> tuple[bool, str]:
    """Tell whether ``index`` holds all ``cells`` at once, and if not, why.

    ``index`` counts reclaimable accelerators as free.
    """
    top = get_level(worker_size)
    whole = {rack: index.count_rack_blocks(rack, top) for rack in index.iter_racks()}
    for level in sorted((at for at in cells if at > top), reverse=True):
        needed = 1 << (level - top)
        for _ in range(cells[level]):
            rack = max(whole, key=whole.get, default=None)
            if rack is None or whole[rack] < needed:
                return False, f"no rack has {needed} whole workers left"
            whole[rack] -= needed
    return _cover_in_workers(index, cells, top, sum(whole.values()))


def _cover_in_workers(index, cells, top, whole_left) -> tuple[bool, str]:
    available = whole_left
    for level in range(top, -1, -1):
        if level < top:
            available = available * 2 + _count_single_blocks(index, level)
        available -= cells.get(level, 0)
        if available < 0:
            size = 1 << level
            return False, f"{-available} blocks of {size} accelerators are missing"
    return True, ""


def _count_single_blocks(index: FreeIndex, level: int) -> int:
    """Return the free blocks of ``level`` that are in no larger free block."""
    return sum(
        index.count_rack_blocks(rack, level)
        - 2 * index.count_rack_blocks(rack, level + 1)
        for rack in index.iter_racks()
    )
