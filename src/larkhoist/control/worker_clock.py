"""Estimate the monotonic clock of a worker from its last answer."""

from dataclasses import dataclass

from larkhoist.ports.task_worker import CLOCK_DRIFT

__all__ = ["WorkerClock"]


@dataclass(slots=True)
class WorkerClock:
    """The reading of a worker's clock, in ms, when its last answer was read.

    The estimate advances at the slowest rate of the clock, so that it is never ahead.
    A lease granted by it is therefore over on the worker once the owner takes it as
    over, even if the worker handles the call so late that its own limit on leases does
    not shorten it. An estimate that advances with true time would grant 12 s after
    600 s without an answer, where the owner expects 6.1 s.
    """

    clock_ms: int | None = None
    heard_s: float = float("-inf")

    def take(self, clock_ms: int, now_s: float) -> None:
        """Record the clock reading of an answer that was read at ``now_s``."""
        self.clock_ms = clock_ms
        self.heard_s = now_s

    @property
    def is_known(self) -> bool:
        """Tell whether the worker has reported its clock."""
        return self.clock_ms is not None

    def get_age_s(self, now_s: float) -> float:
        """Return the age of the last clock reading, in seconds."""
        return now_s - self.heard_s

    def get_lease_until_ms(self, now_s: float, lease_s: float) -> int | None:
        """Return the end of a lease that begins now, on the worker's clock.

        Returns None if the worker has not reported its clock.
        """
        if self.clock_ms is None:
            return None
        passed_s = max(0.0, now_s - self.heard_s) * (1 - CLOCK_DRIFT)
        return int(self.clock_ms + 1000 * (passed_s + lease_s))
