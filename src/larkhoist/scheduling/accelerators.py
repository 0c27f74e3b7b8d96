"""Track which accelerators of a data hall are in use.

There are two indexes: ``free`` holds the accelerators that can be used at once, and
``firm`` counts those that can be reclaimed as free too.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from larkhoist.placement.blocks import make_mask
from larkhoist.placement.index import FreeIndex, MemberPlace

__all__ = ["Accelerators"]


@dataclass(slots=True)
class _Worker:
    rack: str
    size: int
    usable: bool = True
    reserved: bool = False
    busy: int = 0
    firm_busy: int = 0
    held: int = 0


@dataclass(slots=True)
class Accelerators:
    """The accelerators of one data hall."""

    free: FreeIndex = field(default_factory=FreeIndex)
    firm: FreeIndex = field(default_factory=FreeIndex)
    workers: dict[str, _Worker] = field(default_factory=dict)

    def add_worker(self, name: str, rack: str, size: int) -> None:
        """Add a worker with ``size`` accelerators."""
        self.workers[name] = _Worker(rack, size)
        self.free.add_worker(name, rack, size)
        self.firm.add_worker(name, rack, size)

    def remove_worker(self, name: str) -> None:
        """Remove a worker."""
        del self.workers[name]
        self.free.remove_worker(name)
        self.firm.remove_worker(name)

    def set_usable(self, name: str, usable: bool) -> None:
        """Set whether new members may be placed on a worker."""
        worker = self.workers[name]
        if worker.usable != usable:
            worker.usable = usable
            self._refresh(name)

    def set_reserved(self, names: Iterable[str], reserved: bool) -> None:
        """Set whether workers are open only to the job that reserved them."""
        for name in names:
            if name in self.workers:
                self.workers[name].reserved = reserved
                self._refresh(name)

    def use(self, places: Iterable[MemberPlace], firm: bool) -> None:
        """Mark accelerators as used; ``firm`` ones cannot be reclaimed."""
        for place in places:
            worker = self.workers[place.worker]
            worker.busy |= place.mask
            if firm:
                worker.firm_busy |= place.mask
            self._refresh(place.worker)

    def release(self, places: Iterable[MemberPlace]) -> None:
        """Mark accelerators as no longer used."""
        for place in places:
            worker = self.workers.get(place.worker)
            if worker is not None:
                worker.busy &= ~place.mask
                worker.firm_busy &= ~place.mask
                self._refresh(place.worker)

    def hold(self, places: Iterable[MemberPlace]) -> None:
        """Hold accelerators for a job while the attempts on them are stopped."""
        for place in places:
            self.workers[place.worker].held |= place.mask
            self._refresh(place.worker)

    def drop_hold(self, places: Iterable[MemberPlace]) -> None:
        """End a hold."""
        for place in places:
            worker = self.workers.get(place.worker)
            if worker is not None:
                worker.held &= ~place.mask
                self._refresh(place.worker)

    def is_clear(self, places: Iterable[MemberPlace]) -> bool:
        """Tell whether no attempt uses the accelerators."""
        return not any(self.workers[place.worker].busy & place.mask for place in places)

    def are_usable(self, places: Iterable[MemberPlace]) -> bool:
        """Tell whether every worker of ``places`` is listed and accepts work."""
        return all(
            place.worker in self.workers and self.workers[place.worker].usable
            for place in places
        )

    def make_subindex(self, names: Iterable[str]) -> FreeIndex:
        """Return an index of the free accelerators of workers, reserved or not."""
        index = FreeIndex()
        for name in names:
            worker = self.workers.get(name)
            if worker is not None and worker.usable:
                index.add_worker(name, worker.rack, worker.size)
                index.set_free(name, self._get_free(worker))
        return index

    def _get_free(self, worker: _Worker) -> int:
        return make_mask(worker.size) & ~(worker.busy | worker.held)

    def _refresh(self, name: str) -> None:
        worker = self.workers[name]
        unreserved = worker.usable and not worker.reserved
        self.free.set_free(name, self._get_free(worker) if unreserved else 0)
        firm = make_mask(worker.size) & ~worker.firm_busy
        self.firm.set_free(name, firm if worker.usable else 0)
