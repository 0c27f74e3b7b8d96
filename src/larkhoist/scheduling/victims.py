"""Choose the attempts whose borrowed accelerators to reclaim for one gang."""

from collections.abc import Mapping
from dataclasses import dataclass

from larkhoist.log.objects import JobSpec
from larkhoist.placement.blocks import get_level, make_mask
from larkhoist.placement.index import MemberPlace
from larkhoist.scheduling.accelerators import Accelerators

__all__ = ["BorrowedUse", "find_cheapest_places"]


@dataclass(frozen=True, slots=True)
class BorrowedUse:
    """The accelerators one attempt borrows on one worker, and the cost to stop it."""

    job_id: str
    mask: int
    cost: float


@dataclass(frozen=True, slots=True)
class _CandidateBlock:
    cost: float
    worker: str
    mask: int


def find_cheapest_places(
    accelerators: Accelerators,
    spec: JobSpec,
    uses: Mapping[str, list[BorrowedUse]],
) -> list[MemberPlace] | None:
    """Return the cheapest places on free or borrowed accelerators.

    ``uses`` holds the reclaimable attempts by worker. The result is None if there is
    no room even after all of them are stopped.
    """
    if spec.adjacency == "worker" or spec.members == 1:
        return _find_single(accelerators, spec, uses)
    level = get_level(spec.accelerators)
    if spec.adjacency == "hall":
        groups = [list(accelerators.workers)]
    else:
        racks = accelerators.firm.iter_racks()
        groups = [
            accelerators.firm.get_rack_workers(rack)
            for rack in racks
            if accelerators.firm.count_rack_blocks(rack, level) >= spec.members
        ]
    best: list[_CandidateBlock] | None = None
    best_cost = float("inf")
    for names in groups:
        blocks = _list_blocks(accelerators, names, level, uses)
        if len(blocks) < spec.members:
            continue
        chosen = blocks[: spec.members]
        cost = sum(block.cost for block in chosen)
        if cost < best_cost:
            best, best_cost = chosen, cost
    if best is None:
        return None
    return [_make_place(block, 0, spec.accelerators) for block in best]


def _find_single(accelerators, spec, uses) -> list[MemberPlace] | None:
    level = get_level(spec.total)
    blocks = _list_blocks(accelerators, list(accelerators.workers), level, uses)
    if not blocks:
        return None
    return [
        _make_place(blocks[0], index * spec.accelerators, spec.accelerators)
        for index in range(spec.members)
    ]


def _list_blocks(accelerators, names, level, uses) -> list[_CandidateBlock]:
    size = 1 << level
    blocks = []
    for name in names:
        worker = accelerators.workers[name]
        firm_free = accelerators.firm.get_free(name)
        reclaimable = 0
        for use in uses.get(name, ()):
            reclaimable |= use.mask
        unavailable = worker.held | worker.busy & ~reclaimable
        for start in range(0, firm_free.bit_length(), size):
            mask = make_mask(size) << start
            if firm_free & mask == mask and not unavailable & mask:
                cost = sum(use.cost for use in uses.get(name, ()) if use.mask & mask)
                blocks.append(_CandidateBlock(cost, name, mask))
    blocks.sort(key=lambda block: (block.cost, block.worker, block.mask))
    return blocks


def _make_place(block: _CandidateBlock, offset: int, accelerators: int) -> MemberPlace:
    start = (block.mask & -block.mask).bit_length() - 1 + offset
    return MemberPlace(block.worker, make_mask(accelerators) << start)
