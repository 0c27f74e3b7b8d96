"""Tell which phases look for the same room, so that a pass looks for it once."""

from enum import Enum

import msgspec

from larkhoist.fleet.leeway import Leeway
from larkhoist.fleet.ranking import Tier
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.jobs.records import PhaseId
from larkhoist.ports.fleet import Resources

__all__ = ["Among", "Shape", "make_shape"]


class Among(Enum):
    """Name the workers among which a phase looks for room.

    ``PREFERRED`` ones are usable and it has not failed there, ``APART`` ones run
    nothing that may crash them either, ``USABLE`` ones are all usable ones,
    ``QUARANTINED`` the same with those in quarantine that may be tried, ``ANY_RACK``
    all usable ones, whatever rack it asks for, ``RESERVED`` the same with those
    reserved for others.
    """

    PREFERRED = 0
    APART = 1
    USABLE = 2
    QUARANTINED = 3
    ANY_RACK = 4
    RESERVED = 5


class Shape(msgspec.Struct, frozen=True):
    """Hold what decides whether room is found; a part of a gang finds none.

    ``spread`` names a phase with a limit of its own on tasks of one worker,
    ``reserved_for`` one that has workers of its own. ``one_rack`` is how many tasks a
    rack must be able to hold, 0 for a phase that may use several racks.
    """

    service: str
    need: Resources
    label: str
    data_rack: str
    spread: PhaseId | None
    one_rack: int
    together: int
    leeway: Leeway
    keeps_reservations: bool
    reserved_for: PhaseId | None
    failed_on: frozenset[str]
    among: Among


def make_shape(
    active: ActiveJob,
    phase: Phase,
    tier: Tier,
    leeway: Leeway,
    count: int,
    reserved_for: PhaseId | None,
    among: Among,
) -> Shape:
    """Return the shape of a phase of which ``count`` tasks look for room."""
    spec = phase.spec
    return Shape(
        active.job.terms.service,
        phase.need,
        spec.label,
        spec.data_rack,
        phase.id if spec.spread_limit else None,
        len(phase.tasks) if spec.same_rack else 0,
        count if spec.gang else 1,
        leeway,
        tier > Tier.URGENT,
        reserved_for,
        frozenset(name for task in phase.tasks for name in task.failed_on),
        among,
    )
