"""Define the parameters of the scheduling policy."""

from dataclasses import dataclass, field

from larkhoist.scheduling.attempt import AttemptTimes

__all__ = ["SchedulingPolicy"]


@dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """The scheduling policy of one data hall; times are in seconds.

    Workers are reserved for a gang that has waited for ``patience_s``. After they have
    drained for ``drain_s``, borrowed work on them is reclaimed. Reservations together
    cover at most ``reserved_share`` of the workers, but one is always allowed.

    A gang ends after ``max_early_losses`` attempts in a row that each lose a member
    with its worker within ``early_loss_s`` of the start; otherwise a job that crashes
    its workers would be placed again without end. Later losses are not counted: a gang
    that runs longer crashes a worker at most once a minute, and ordinary failures also
    hit large gangs (about 30 of 1,024 members in ten hours, with 19,000 workers).
    """

    patience_s: float = 30.0
    drain_s: float = 60.0
    reserved_share: float = 0.5
    backfill: bool = True
    max_failures: int = 3
    max_early_losses: int = 5
    early_loss_s: float = 60.0
    times: AttemptTimes = field(default_factory=AttemptTimes)
