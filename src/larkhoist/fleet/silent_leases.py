"""Tell later owners when the leases of silent workers end.

An owner that never heard from a worker can't tell what former owners granted there, and
would count that from its own beginning. Whoever finds a worker silent keeps on the log
how long its lease may last, and grants it no other one until the log tells otherwise.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from larkhoist.fleet.worker import FleetWorker

__all__ = ["LeaseNote", "SilentLeases"]

SILENT_S = 1.0
"""A worker that missed one call has mostly answered the next one by then."""
REPEAT_S = 0.5
"""How often the remaining time is kept; another owner loses as much of it."""


@dataclass(frozen=True, slots=True)
class LeaseNote:
    """Hold what the log must keep: the remaining time of leases, by worker.

    Once it is on the log, leases may be granted to ``granted`` again.
    """

    remaining_s: Mapping[str, float]
    granted: Collection[str] = field(default_factory=frozenset)


class SilentLeases:
    """Hold which workers get no lease; times are steady seconds.

    The remaining time counts from when it is read: the clocks of two instances can't
    be compared.
    """

    def __init__(self):
        self._withheld: set[str] = set()
        self._kept_end_s: dict[str, float] = {}
        self._kept_s = float("-inf")

    def take_over(
        self,
        remaining_s: Mapping[str, float],
        workers: Mapping[str, FleetWorker],
        now_s: float,
    ) -> None:
        """Apply what a former owner has kept."""
        for name, left_s in remaining_s.items():
            self._withheld.add(name)
            if name in workers:
                worker = workers[name]
                worker.lease_end_s = min(worker.lease_end_s, now_s + left_s)

    def withholds(self, name: str) -> bool:
        """Tell whether a worker gets no lease."""
        return name in self._withheld

    def update(self, workers: Iterable[FleetWorker], now_s: float) -> LeaseNote | None:
        """Withhold the leases of silent workers; return what the log must keep."""
        silent = {
            worker.name: worker.lease_end_s
            for worker in workers
            if worker.tasks and self._is_silent(worker, now_s)
        }
        granted = self._withheld - silent.keys()
        if not silent and not granted:
            return None
        is_same = silent.keys() == self._kept_end_s.keys() and all(
            end_s <= self._kept_end_s[name] for name, end_s in silent.items()
        )
        if is_same and now_s < self._kept_s + REPEAT_S:
            return None
        self._withheld |= silent.keys()
        self._kept_end_s = silent
        self._kept_s = now_s
        remaining_s = {name: max(0.0, at_s - now_s) for name, at_s in silent.items()}
        return LeaseNote(remaining_s, frozenset(granted))

    def _is_silent(self, worker: FleetWorker, now_s: float) -> bool:
        if worker.name in self._withheld:
            return worker.silent or worker.heard_s == float("-inf")
        return worker.silent and now_s >= worker.silent_s + SILENT_S

    def grant(self, note: LeaseNote) -> list[str]:
        """Take a note that the log has; return who may get a lease again."""
        # One that has fallen silent again is in a note on its way.
        granted = [name for name in note.granted if name not in self._kept_end_s]
        self._withheld.difference_update(granted)
        return granted
