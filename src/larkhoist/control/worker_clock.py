"""Estimate the steady clock of a worker from the last answer that told it."""

from dataclasses import dataclass

from larkhoist.ports.task_worker import CLOCK_DRIFT

__all__ = ["WorkerClock"]


@dataclass(slots=True)
class WorkerClock:
    """Hold what a worker's clock showed, in ms, when an answer was read.

    The estimate counts on from there as slowly as the clock may run, so that it is
    never ahead. A lease that ends by it is over when the owner takes it as over, also
    when the call is carried out so late that the worker's own bound on leases does not
    shorten it: an estimate that runs on with true time grants 12 s after a rest of
    600 s where 6.1 s are counted on.
    """

    clock_ms: int | None = None
    heard_s: float = float("-inf")

    def take(self, clock_ms: int, now_s: float) -> None:
        """Take the clock that an answer told which was read by ``now_s``."""
        self.clock_ms = clock_ms
        self.heard_s = now_s

    @property
    def is_known(self) -> bool:
        """Tell whether the clock was ever heard of."""
        return self.clock_ms is not None

    def get_age_s(self, now_s: float) -> float:
        """Return how long ago the clock was heard of."""
        return now_s - self.heard_s

    def get_lease_until_ms(self, now_s: float, lease_s: float) -> int | None:
        """Return when a lease ends, on the worker's clock, that begins now.

        None means that the clock was never heard of.
        """
        if self.clock_ms is None:
            return None
        passed_s = max(0.0, now_s - self.heard_s) * (1 - CLOCK_DRIFT)
        return int(self.clock_ms + 1000 * (passed_s + lease_s))
