"""Compute what share of the free accelerators is unusable due to fragmentation.

For each expected shape of a gang, this compares how many free accelerators such gangs
can use now with how many they could use if all free ones were adjacent.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from larkhoist.placement.blocks import get_level
from larkhoist.placement.index import FreeIndex

__all__ = ["EXPECTED_MIX", "ExpectedShape", "get_fragmentation", "get_largest_block"]


@dataclass(frozen=True, slots=True)
class ExpectedShape:
    """One shape of the expected mix of jobs, and its weight."""

    members: int
    accelerators: int
    adjacency: str
    weight: float


EXPECTED_MIX = (
    ExpectedShape(1, 1, "worker", 1.0),
    ExpectedShape(1, 4, "worker", 1.0),
    ExpectedShape(1, 8, "worker", 1.0),
    ExpectedShape(4, 8, "rack", 1.0),
)
"""The mix of jobs expected on the target clusters, with equal weights."""


def get_fragmentation(index: FreeIndex, mix: Sequence[ExpectedShape]) -> float:
    """Return the share of accelerators that fragmentation makes unusable, 0 to 1.

    The shapes count by their weights. The result is 0 if there are too few free
    accelerators for any shape.
    """
    possible = sum(shape.weight * _count_possible(index, shape) for shape in mix)
    if possible == 0:
        return 0.0
    usable = sum(shape.weight * _count_usable(index, shape) for shape in mix)
    return max(0.0, 1.0 - usable / possible)


def get_largest_block(index: FreeIndex, worker_size: int) -> int:
    """Return the size of the largest free block, in accelerators.

    Free workers of one rack count together as one block.
    """
    top = get_level(worker_size)
    for level in range(top, -1, -1):
        counts = [index.count_rack_blocks(rack, level) for rack in index.iter_racks()]
        if max(counts, default=0) > 0:
            return max(counts) * worker_size if level == top else 1 << level
    return 0


def _count_possible(index: FreeIndex, shape: ExpectedShape) -> int:
    total = shape.members * shape.accelerators
    return index.free_total // total * total


def _count_usable(index: FreeIndex, shape: ExpectedShape) -> int:
    if shape.adjacency == "worker":
        level = get_level(shape.members * shape.accelerators)
        members = 1
    else:
        level = get_level(shape.accelerators)
        members = shape.members
    counts = [index.count_rack_blocks(rack, level) for rack in index.iter_racks()]
    if shape.adjacency == "hall":
        gangs = sum(counts) // members
    else:
        gangs = sum(count // members for count in counts)
    return gangs * shape.members * shape.accelerators
