"""Count crashes that show only after the lease of a worker is over.

When a lease ends, nobody knows whether the worker crashed or was cut off. Another
incarnation in its place tells later that it crashed.
"""

from dataclasses import dataclass

from larkhoist.fleet.incarnation import Incarnation
from larkhoist.fleet.worker import FleetWorker

__all__ = ["LateCrashes", "LostRun"]

KEEP_S = 60.0
"""A worker that comes back later tells little of what it ran."""


@dataclass(frozen=True, slots=True)
class LostRun:
    """Name a task that was seen to run on a lost worker.

    ``is_newest`` tells that it was among the last ones that began there.
    """

    task: str
    is_newest: bool


@dataclass(frozen=True, slots=True)
class _LostWorker:
    """Hold what ran on a worker whose lease was over at ``at_s`` (steady seconds)."""

    address: str
    started_ms: int
    runs: tuple[LostRun, ...]
    at_s: float


class LateCrashes:
    """Hold the workers whose leases ended and of which nothing was heard since."""

    def __init__(self):
        self._workers: dict[str, _LostWorker] = {}

    def note(self, worker: FleetWorker, runs: list[LostRun], now_s: float) -> None:
        """Remember what was lost, unless the worker had gone from the list before."""
        self._workers = {
            name: lost
            for name, lost in self._workers.items()
            if now_s < lost.at_s + KEEP_S
        }
        if runs and not worker.has_gone_unsaid:
            self._workers[worker.name] = _LostWorker(
                worker.address, worker.incarnation.started_ms, tuple(runs), now_s
            )

    def drop(self, name: str) -> None:
        """Forget a worker that has answered: it was cut off."""
        self._workers.pop(name, None)

    def take(self, name: str, started_ms: int, address: str) -> tuple[LostRun, ...]:
        """Return what crashed, by an incarnation that has come up at an address.

        ``started_ms`` is its start time in Unix milliseconds, 0 if unknown.
        """
        found = [
            other
            for other, lost in self._workers.items()
            if (
                Incarnation(lost.started_ms).is_other(started_ms)
                if other == name
                else lost.address and lost.address == address
            )
        ]
        return tuple(run for other in found for run in self._workers.pop(other).runs)
