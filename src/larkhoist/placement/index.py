"""Find free accelerators for gangs without scanning every worker.

For each block size, racks are sorted by the number of free blocks they hold. Workers
are grouped by their largest free block and sorted by the number of entirely free
workers in their rack, fewest first, so that single tasks avoid racks that a gang could
use. Changed racks and workers are marked, and sorted again at the next search.
"""

from dataclasses import dataclass, field

from sortedcontainers import SortedList

from larkhoist.placement.blocks import (
    count_blocks,
    find_block,
    get_largest_level,
    get_level,
    make_mask,
)

__all__ = ["FreeIndex", "MemberPlace", "MAX_LEVEL"]

MAX_LEVEL = 6


@dataclass(frozen=True, slots=True)
class MemberPlace:
    """The worker and the accelerators (``mask``) for one member of a gang."""

    worker: str
    mask: int


@dataclass(slots=True)
class _Worker:
    """A worker; ``indexed`` is the level and key under which it is sorted."""

    name: str
    rack: str
    size: int
    free: int = 0
    indexed: tuple | None = None


@dataclass(slots=True)
class _Rack:
    """A rack; ``indexed`` holds the block counts by which it is sorted."""

    name: str
    workers: dict[str, _Worker] = field(default_factory=dict)
    whole_workers: int = 0
    blocks: list[int] = field(default_factory=lambda: [0] * (MAX_LEVEL + 1))
    indexed: list[int] = field(default_factory=lambda: [0] * (MAX_LEVEL + 1))


class FreeIndex:
    """An index of the free accelerators of one data hall."""

    def __init__(self):
        self._workers: dict[str, _Worker] = {}
        self._racks: dict[str, _Rack] = {}
        self._rack_order = [SortedList() for _ in range(MAX_LEVEL + 1)]
        self._worker_order = [SortedList() for _ in range(MAX_LEVEL + 1)]
        self._changed_racks: set[str] = set()
        self._changed_workers: set[str] = set()
        self.free_total = 0

    def add_worker(self, name: str, rack: str, size: int) -> None:
        """Add a worker whose ``size`` accelerators are all free."""
        worker = _Worker(name, rack, size)
        self._workers[name] = worker
        self._racks.setdefault(rack, _Rack(rack)).workers[name] = worker
        self.set_free(name, make_mask(size))

    def remove_worker(self, name: str) -> None:
        """Remove a worker from the index."""
        self.set_free(name, 0)
        self._refresh()
        worker = self._workers.pop(name)
        del self._racks[worker.rack].workers[name]

    def get_free(self, name: str) -> int:
        """Return the mask of the worker's free accelerators."""
        return self._workers[name].free

    def get_rack_workers(self, rack: str) -> list[str]:
        """Return the names of the workers of one rack."""
        return list(self._racks[rack].workers)

    def get_rack(self, name: str) -> str:
        """Return the rack of a worker."""
        return self._workers[name].rack

    def iter_racks(self) -> list[str]:
        """Return the names of all racks."""
        return list(self._racks)

    def get_largest_size(self) -> int:
        """Return the number of accelerators of the largest worker, at least 1."""
        return max((worker.size for worker in self._workers.values()), default=1)

    def set_free(self, name: str, free: int) -> None:
        """Set which accelerators of a worker are free."""
        worker = self._workers[name]
        before = worker.free
        if before == free:
            return
        rack = self._racks[worker.rack]
        for level in range(get_level(worker.size) + 1):
            change = count_blocks(free, level) - count_blocks(before, level)
            rack.blocks[level] += change
        full = make_mask(worker.size)
        if (free == full) != (before == full):
            rack.whole_workers += 1 if free == full else -1
            # The sort key of each worker in the rack contains this count.
            self._changed_workers.update(rack.workers)
        worker.free = free
        self.free_total += free.bit_count() - before.bit_count()
        self._changed_racks.add(rack.name)
        self._changed_workers.add(name)

    def take(self, places: list[MemberPlace]) -> None:
        """Mark the accelerators of ``places`` as used."""
        for place in places:
            free = self._workers[place.worker].free
            self.set_free(place.worker, free & ~place.mask)

    def give_back(self, places: list[MemberPlace]) -> None:
        """Mark the accelerators of ``places`` as free."""
        for place in places:
            worker = self._workers.get(place.worker)
            if worker is not None:
                self.set_free(place.worker, worker.free | place.mask)

    def count_rack_blocks(self, rack: str, level: int) -> int:
        """Return the number of free blocks of ``level`` in a rack."""
        return self._racks[rack].blocks[level]

    def find(
        self, members: int, accelerators: int, adjacency: str
    ) -> list[MemberPlace] | None:
        """Return a place for each member, or None if there is no room.

        The places are not marked as used; see ``take``.
        """
        self._refresh()
        if adjacency == "worker":
            return self._find_in_worker(members, accelerators)
        level = get_level(accelerators)
        if members == 1:
            return self._find_in_worker(1, accelerators)
        if adjacency == "rack":
            return self._find_in_rack(members, accelerators, level)
        return self._find_in_hall(members, accelerators, level)

    def _find_in_worker(self, members, accelerators) -> list[MemberPlace] | None:
        level = get_level(members * accelerators)
        for order in self._worker_order[level:]:
            if order:
                worker = self._workers[order[0][-1]]
                block = find_block(worker.free, level)
                return _split_block(worker.name, block, members, accelerators)
        return None

    def _find_in_rack(self, members, accelerators, level) -> list[MemberPlace] | None:
        rack = self._find_best_rack(level, members)
        if rack is None:
            return None
        return self._fill_rack(rack, members, accelerators, level)

    def _find_in_hall(self, members, accelerators, level) -> list[MemberPlace] | None:
        places: list[MemberPlace] = []
        last = self._find_best_rack(level, members)
        used: set[str] = set()
        order = self._rack_order[level]
        position = len(order)
        while last is None:
            position -= 1
            if position < 0:
                return None
            count, rack = order[position]
            used.add(rack)
            places += self._fill_rack(rack, count, accelerators, level)
            last = self._find_best_rack(level, members - len(places), used)
        left = members - len(places)
        return places + self._fill_rack(last, left, accelerators, level)

    def _find_best_rack(self, level, members, used=frozenset()) -> str | None:
        order = self._rack_order[level]
        position = order.bisect_left((members, ""))
        while position < len(order):
            rack = order[position][1]
            if rack not in used:
                return rack
            position += 1
        return None

    def _fill_rack(self, rack, members, accelerators, level) -> list[MemberPlace]:
        places: list[MemberPlace] = []
        workers = self._racks[rack].workers.values()
        fitting = [w for w in workers if count_blocks(w.free, level)]
        fitting.sort(key=lambda w: (get_largest_level(w.free), w.free.bit_count()))
        for worker in fitting:
            free = worker.free
            while len(places) < members:
                block = find_block(free, level)
                if not block:
                    break
                mask = _trim_block(block, accelerators)
                places.append(MemberPlace(worker.name, mask))
                free &= ~mask
        return places

    def _refresh(self) -> None:
        for name in self._changed_racks:
            self._update_rack_order(self._racks[name])
        for name in self._changed_workers:
            self._update_worker_order(self._workers[name])
        self._changed_racks.clear()
        self._changed_workers.clear()

    def _update_rack_order(self, rack: _Rack) -> None:
        for level, count in enumerate(rack.blocks):
            indexed = rack.indexed[level]
            if indexed == count:
                continue
            if indexed:
                self._rack_order[level].remove((indexed, rack.name))
            if count:
                self._rack_order[level].add((count, rack.name))
            rack.indexed[level] = count

    def _update_worker_order(self, worker: _Worker) -> None:
        if worker.indexed is not None:
            level, key = worker.indexed
            self._worker_order[level].remove(key)
            worker.indexed = None
        level = get_largest_level(worker.free)
        if level >= 0:
            whole_workers = self._racks[worker.rack].whole_workers
            key = (whole_workers, worker.free.bit_count(), worker.rack, worker.name)
            self._worker_order[level].add(key)
            worker.indexed = (level, key)


def _trim_block(block: int, accelerators: int) -> int:
    start = (block & -block).bit_length() - 1
    return make_mask(accelerators) << start


def _split_block(name, block, members, accelerators) -> list[MemberPlace]:
    start = (block & -block).bit_length() - 1
    return [
        MemberPlace(name, make_mask(accelerators) << (start + index * accelerators))
        for index in range(members)
    ]
