"""Identify equivalent searches for room, so that a pass repeats none that failed."""

from enum import Enum

import msgspec

from larkhoist.fleet.leeway import Leeway
from larkhoist.fleet.ranking import Tier
from larkhoist.fleet.room_search import WorkerGroup
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.jobs.records import PhaseId
from larkhoist.ports.fleet import Resources

__all__ = ["SearchScope", "Shape", "make_shape"]


class SearchScope(Enum):
    """The workers among which a phase searches for room.

    - ``PREFERRED``: usable workers on which the phase has not failed
    - ``APART``: the same, without those that run tasks that may crash them
    - ``USABLE``: all usable workers
    - ``QUARANTINED``: the same, and those in quarantine that may be tried
    - ``ANY_RACK``: all usable workers, whatever rack the phase asks for
    - ``RESERVED``: the same, and those reserved for other phases

    Urgent phases, and those that may use any rack, get reserved workers in all scopes.
    """

    PREFERRED = 0
    APART = 1
    USABLE = 2
    QUARANTINED = 3
    ANY_RACK = 4
    RESERVED = 5


class Shape(msgspec.Struct, frozen=True):
    """Everything that decides whether a search for room succeeds.

    ``spread`` is set for a phase that limits its tasks per worker, ``reserved_for`` for
    one that has reserved workers. ``one_rack`` is how many tasks a rack must be able to
    hold, 0 for a phase that may use several racks. ``together`` is how many tasks must
    find room at once: all of a gang, else 1. ``group`` is set for a search limited to
    workers of some speeds.
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
    among: SearchScope
    group: WorkerGroup | None


def make_shape(
    active: ActiveJob,
    phase: Phase,
    tier: Tier,
    leeway: Leeway,
    count: int,
    reserved_for: PhaseId | None,
    scope: SearchScope,
    group: WorkerGroup | None = None,
) -> Shape:
    """Return the shape of a search for room for ``count`` tasks of a phase."""
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
        scope,
        group,
    )
