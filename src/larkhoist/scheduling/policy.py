"""Hold the weights and bounds of the scheduling policy."""

from dataclasses import dataclass, field

from larkhoist.scheduling.attempt import AttemptTimes

__all__ = ["SchedulingPolicy"]


@dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """Hold the policy of one data hall; times are in seconds.

    A gang that has waited for ``patience_s`` gets workers reserved, and once they
    have been draining for ``drain_s`` borrowed work on them is reclaimed. Several
    reservations stand beside each other up to ``reserved_share`` of the workers.
    """

    patience_s: float = 30.0
    drain_s: float = 60.0
    reserved_share: float = 0.5
    backfill: bool = True
    max_failures: int = 3
    times: AttemptTimes = field(default_factory=AttemptTimes)
