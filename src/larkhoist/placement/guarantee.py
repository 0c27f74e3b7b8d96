"""Check whether free or reclaimable cells cover all unused guarantees.

A cell is a power-of-two block of accelerators: part of a worker up to the worker's
size, and above that several whole workers of one rack. Each size divides the next, so
counting from the largest cell down tells exactly whether a set of cells fits.
"""

from collections import Counter
from collections.abc import Iterable

from larkhoist.log.objects import Cell, JobSpec
from larkhoist.placement.blocks import get_level
from larkhoist.placement.index import FreeIndex

__all__ = ["can_cover", "count_cells", "get_needed_cells", "subtract_claims"]


def count_cells(cells: Iterable[Cell]) -> Counter[int]:
    """Return the number of cells by level."""
    counts: Counter[int] = Counter()
    for cell in cells:
        counts[get_level(cell.accelerators)] += cell.count
    return counts


def get_needed_cells(spec: JobSpec) -> Counter[int]:
    """Return the cells of its customer's guarantee that a job needs, by level."""
    if spec.adjacency == "hall":
        return Counter({get_level(spec.accelerators): spec.members})
    if spec.adjacency == "rack" and spec.members > 1:
        total = spec.members << get_level(spec.accelerators)
        return Counter({get_level(total): 1})
    return Counter({get_level(spec.total): 1})


def subtract_claims(
    guarantee: Counter[int], claims: Iterable[Counter[int]]
) -> Counter[int] | None:
    """Return the cells left of a guarantee, or None if the claims exceed it.

    A claim splits the smallest sufficient cell; the remaining halves stay available.
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
    whole_workers = {
        rack: index.count_rack_blocks(rack, top) for rack in index.iter_racks()
    }
    for level in sorted((at for at in cells if at > top), reverse=True):
        needed = 1 << (level - top)
        for _ in range(cells[level]):
            rack = max(whole_workers, key=whole_workers.get, default=None)
            if rack is None or whole_workers[rack] < needed:
                return False, f"no rack has {needed} whole workers left"
            whole_workers[rack] -= needed
    return _cover_in_workers(index, cells, top, sum(whole_workers.values()))


def _cover_in_workers(index, cells, top, free_whole_workers) -> tuple[bool, str]:
    available = free_whole_workers
    for level in range(top, -1, -1):
        if level < top:
            available = available * 2 + _count_single_blocks(index, level)
        available -= cells.get(level, 0)
        if available < 0:
            size = 1 << level
            return False, f"{-available} blocks of {size} accelerators are missing"
    return True, ""


def _count_single_blocks(index: FreeIndex, level: int) -> int:
    """Return the number of free blocks of ``level`` outside larger free blocks."""
    return sum(
        index.count_rack_blocks(rack, level)
        - 2 * index.count_rack_blocks(rack, level + 1)
        for rack in index.iter_racks()
    )
