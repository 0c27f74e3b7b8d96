"""Define the state of a job at the owner of its data hall."""

from dataclasses import dataclass, field
from enum import Enum

from larkhoist.log.objects import JobSpec
from larkhoist.placement.index import MemberPlace
from larkhoist.scheduling.attempt import Attempt

__all__ = ["HallJob", "JobPhase", "Reservation"]


class JobPhase(Enum):
    """Phase of a job in its data hall."""

    RECOVERING = "recovering"
    WAITING = "waiting"
    ACTIVE = "active"
    ENDING = "ending"


@dataclass(slots=True)
class Reservation:
    """Workers that take no new work until they are clear for a waiting gang.

    ``ready_s`` is when they are expected to be clear.
    """

    workers: tuple[str, ...]
    created_s: float
    ready_s: float
    reclaimed: bool = False


@dataclass(slots=True)
class HallJob:
    """One job in its data hall.

    ``held`` are the places kept for it while the attempts on them are stopped.
    ``failures`` and ``early_losses`` are also counted in the log, so that a change of
    owner does not reset them. ``placed_attempt`` and ``placed_workers`` are the newest
    placement in the log.
    """

    spec: JobSpec
    submitted_s: float
    attempt: int = 1
    phase: JobPhase = JobPhase.WAITING
    current: Attempt | None = None
    firm: bool = False
    cancelled: bool = False
    placed_attempt: int = 0
    placed_workers: tuple[str, ...] = ()
    failures: int = 0
    early_losses: int = 0
    held: list[MemberPlace] = field(default_factory=list)
    reservation: Reservation | None = None
    code: int = 0

    def get_shape(self) -> tuple[int, int, str]:
        """Return members, accelerators per member and adjacency."""
        return self.spec.members, self.spec.accelerators, self.spec.adjacency
