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

    ``max_early_losses`` attempts in a row that lose a member with its worker within
    ``early_loss_s`` of their start end a gang: work that crashes its workers would be
    placed for ever. A gang that runs longer costs a worker a minute at the most; of
    1,024 members some 30 lose theirs in ten hours of an ordinary day of 19,000 workers.
    """

    patience_s: float = 30.0
    drain_s: float = 60.0
    reserved_share: float = 0.5
    backfill: bool = True
    max_failures: int = 3
    max_early_losses: int = 5
    early_loss_s: float = 60.0
    times: AttemptTimes = field(default_factory=AttemptTimes)
