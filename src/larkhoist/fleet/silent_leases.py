"""Record on the log when the leases of silent workers end, for later owners.

An owner that has had no answer from a worker doesn't know the lease that former owners
granted, and would count the longest one from the start of its own tenure. Therefore an
owner that finds a worker silent records the remaining time of its lease on the log. It
grants the worker no lease until the log has a record that leases may be granted again.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from larkhoist.fleet.worker import FleetWorker

__all__ = ["LeaseNote", "SilentLeases"]

MIN_SILENCE_S = 1.0
"""How long a worker is silent before its lease is recorded. Most workers that miss one
call answer the next one by then."""
RECORD_INTERVAL_S = 0.5
"""How often the remaining time is recorded. A later owner may wait that much longer."""


@dataclass(frozen=True, slots=True)
class LeaseNote:
    """Hold the remaining time of leases by worker, in seconds, for the log.

    Once the note is on the log, leases may be granted to ``granted`` again.
    """

    remaining_s: Mapping[str, float]
    granted: Collection[str] = field(default_factory=frozenset)


class SilentLeases:
    """Hold the workers that get no lease; times are monotonic seconds.

    The remaining time counts from when it is read, since the clocks of two instances
    can't be compared.
    """

    def __init__(self):
        self._withheld: set[str] = set()
        self._recorded_end_s: dict[str, float] = {}
        self._recorded_s = float("-inf")

    def take_over(
        self,
        remaining_s: Mapping[str, float],
        workers: Mapping[str, FleetWorker],
        now_s: float,
    ) -> None:
        """Apply the remaining lease times that a former owner recorded, in seconds."""
        for name, left_s in remaining_s.items():
            self._withheld.add(name)
            if name in workers:
                worker = workers[name]
                worker.lease_end_s = min(worker.lease_end_s, now_s + left_s)

    def withholds(self, name: str) -> bool:
        """Tell whether a worker must get no lease."""
        return name in self._withheld

    def update(self, workers: Iterable[FleetWorker], now_s: float) -> LeaseNote | None:
        """Withhold leases from silent workers; return a note for the log, if needed."""
        silent = {
            worker.name: worker.lease_end_s
            for worker in workers
            if worker.tasks and self._must_withhold(worker, now_s)
        }
        granted = self._withheld - silent.keys()
        if not silent and not granted:
            return None
        is_same = silent.keys() == self._recorded_end_s.keys() and all(
            end_s <= self._recorded_end_s[name] for name, end_s in silent.items()
        )
        if is_same and now_s < self._recorded_s + RECORD_INTERVAL_S:
            return None
        self._withheld |= silent.keys()
        self._recorded_end_s = silent
        self._recorded_s = now_s
        remaining_s = {name: max(0.0, at_s - now_s) for name, at_s in silent.items()}
        return LeaseNote(remaining_s, frozenset(granted))

    def _must_withhold(self, worker: FleetWorker, now_s: float) -> bool:
        if worker.name in self._withheld:
            return worker.silent or worker.heard_s == float("-inf")
        return worker.silent and now_s >= worker.silent_s + MIN_SILENCE_S

    def grant(self, note: LeaseNote) -> list[str]:
        """Apply a note that is on the log; return the workers that may get a lease."""
        # A worker that is silent again is in a later note that isn't on the log yet.
        granted = [name for name in note.granted if name not in self._recorded_end_s]
        self._withheld.difference_update(granted)
        return granted
