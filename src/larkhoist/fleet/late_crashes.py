"""Detect crashes that become known only after the lease of a worker is over.

When a lease ends, it is unknown whether the worker crashed or was cut off. If another
incarnation answers in its place later, it had crashed.
"""

from dataclasses import dataclass

from larkhoist.fleet.incarnation import Incarnation
from larkhoist.fleet.worker import FleetWorker

__all__ = ["LateCrashes", "LostRun"]

RETENTION_S = 60.0
"""How long a lost worker is remembered; a later return says little of its tasks."""


@dataclass(frozen=True, slots=True)
class LostRun:
    """Name a task that was seen to run on a lost worker.

    ``is_newest`` is set if it was among the tasks that began there last.
    """

    task: str
    is_newest: bool


@dataclass(frozen=True, slots=True)
class _LostWorker:
    """Hold what ran on a worker whose lease ended at ``at_s`` (monotonic seconds)."""

    address: str
    started_ms: int
    runs: tuple[LostRun, ...]
    at_s: float


class LateCrashes:
    """Hold the workers whose leases have ended and that have not answered since."""

    def __init__(self):
        self._workers: dict[str, _LostWorker] = {}

    def note(self, worker: FleetWorker, runs: list[LostRun], now_s: float) -> None:
        """Add a lost worker, unless it left the list before it became silent."""
        self._workers = {
            name: lost
            for name, lost in self._workers.items()
            if now_s < lost.at_s + RETENTION_S
        }
        if runs and not worker.was_unlisted_before_silent:
            self._workers[worker.name] = _LostWorker(
                worker.address, worker.incarnation.started_ms, tuple(runs), now_s
            )

    def drop(self, name: str) -> None:
        """Remove a worker that has answered: it was only cut off."""
        self._workers.pop(name, None)

    def take(self, name: str, started_ms: int, address: str) -> tuple[LostRun, ...]:
        """Remove and return the tasks on workers that an incarnation shows as crashed.

        These are the workers of the same name with another start time, or of another
        name at the same address. ``started_ms`` is the start time of the incarnation in
        Unix milliseconds, 0 if unknown.
        """
        matching = [
            other
            for other, lost in self._workers.items()
            if (
                Incarnation(lost.started_ms).is_other(started_ms)
                if other == name
                else lost.address and lost.address == address
            )
        ]
        return tuple(run for other in matching for run in self._workers.pop(other).runs)
