"""Hold one job as its data hall's owner sees it."""

from dataclasses import dataclass, field
from enum import Enum

from larkhoist.log.objects import JobSpec
from larkhoist.placement.index import MemberPlace
from larkhoist.scheduling.attempt import Attempt

__all__ = ["HallJob", "JobPhase", "Reservation"]


class JobPhase(Enum):
    """Name the phases of a job in its data hall."""

    RECOVERING = "recovering"
    WAITING = "waiting"
    ACTIVE = "active"
    ENDING = "ending"


@dataclass(slots=True)
class Reservation:
    """Hold workers that drain for one waiting gang."""

    workers: tuple[str, ...]
    made_s: float
    ready_s: float
    reclaimed: bool = False


@dataclass(slots=True)
class HallJob:
    """Hold one job; ``held`` are accelerators kept while others are reclaimed.

    ``failures`` and ``early_losses`` count as the log does, over owners.
    ``placed_attempt`` and ``placed_workers`` are what the log says of its newest
    start.
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
        """Return what decides whether the job fits."""
        return self.spec.members, self.spec.accelerators, self.spec.adjacency
