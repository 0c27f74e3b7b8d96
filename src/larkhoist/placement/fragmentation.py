"""Measure how much of the free accelerators the expected shapes cannot use."""

from collections.abc import Sequence
from dataclasses import dataclass

from larkhoist.placement.blocks import get_level
from larkhoist.placement.index import FreeIndex

__all__ = ["EXPECTED_MIX", "ExpectedShape", "get_fragmentation", "get_largest_block"]


@dataclass(frozen=True, slots=True)
class ExpectedShape:
    """Hold one shape of the expected mix and its weight."""

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
"""The mix that both clusters expect, with equal weights."""


def get_fragmentation(index: FreeIndex, mix: Sequence[ExpectedShape]) -> float:
    """Return the share of free accelerators that the mix cannot use, 0 to 1.

    For each shape the accelerators that gangs of it could fill are counted; the
    shares are weighed together. Nothing free counts as no fragmentation.
    """
    if index.free_total == 0:
        return 0.0
    weight = sum(shape.weight for shape in mix)
    usable = sum(shape.weight * _count_usable(index, shape) for shape in mix)
    return max(0.0, 1.0 - usable / weight / index.free_total)


def get_largest_block(index: FreeIndex, worker_size: int) -> int:
    """Return the most adjacent free accelerators: whole workers of one rack."""
    top = get_level(worker_size)
    for level in range(top, -1, -1):
        counts = [index.count_rack_blocks(rack, level) for rack in index.iter_racks()]
        if max(counts, default=0) > 0:
            return max(counts) * worker_size if level == top else 1 << level
    return 0


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
