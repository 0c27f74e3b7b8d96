"""Log changes of the workers' unevenness, and record their speeds for later owners."""

from collections.abc import Collection

from larkhoist.fleet.effects import Note, Round, SpeedsNote
from larkhoist.fleet.speeds import SpeedFactor, WorkerSpeeds
from larkhoist.jobs.records import count_speeds_parts
from larkhoist.jobs.registry import JobRegistry

__all__ = ["SpeedNotes"]

RECORD_INTERVAL_S = 5.0
"""Shortest time between two records of speeds."""


class SpeedNotes:
    """The speeds as they were last logged and recorded; times are monotonic seconds."""

    def __init__(self):
        self._was_uneven = False
        self._recorded_s = float("-inf")
        self._retained_s = float("inf")
        self._parts = 0

    def take_over(self, registry: JobRegistry, speeds: WorkerSpeeds) -> None:
        """Apply the speeds that a former owner recorded."""
        self._parts = registry.speeds_parts
        speeds.restore(
            {
                worker: SpeedFactor(recorded.factor_milli / 1000, recorded.samples)
                for worker, recorded in registry.speeds.items()
            }
        )

    def update(
        self,
        speeds: WorkerSpeeds,
        workers: Collection[str],
        decided: Round,
        now_s: float,
    ) -> None:
        """Add what is to be logged and recorded to a round.

        The speeds are recorded while the workers are uneven, if any has changed by 10 %
        since the last record. Those of workers that are gone are forgotten.
        """
        self._forget_gone(speeds, workers, now_s)
        if speeds.is_uneven != self._was_uneven:
            self._was_uneven = speeds.is_uneven
            decided.notes.append(_make_note(speeds))
        if not (speeds.is_uneven and speeds.has_changed):
            return
        if now_s < self._recorded_s + RECORD_INTERVAL_S:
            return
        self._recorded_s = now_s
        exported = speeds.export()
        decided.speeds = SpeedsNote(exported, self._parts)
        self._parts = count_speeds_parts(len(exported))

    def _forget_gone(
        self, speeds: WorkerSpeeds, workers: Collection[str], now_s: float
    ) -> None:
        """Forget the speeds of workers that are gone, if more are kept than exist.

        The entry of a worker may be missing for some seconds, so that its speed is not
        forgotten at once.
        """
        self._retained_s = min(self._retained_s, now_s)
        if now_s < self._retained_s + RECORD_INTERVAL_S:
            return
        self._retained_s = now_s
        if len(speeds) > len(workers):
            speeds.retain(workers)


def _make_note(speeds: WorkerSpeeds) -> Note:
    low, high = speeds.get_range()
    fields = {
        "uneven": speeds.is_uneven,
        "low": round(low, 3),
        "high": round(high, 3),
        "known": len(speeds),
    }
    return Note("workers-uneven", fields)
