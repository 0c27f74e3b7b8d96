"""Rank the phases that could start by urgency and deadline."""

from enum import IntEnum

import msgspec

from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.runtimes import QueueRuntimes
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.jobs.records import PhaseId

__all__ = ["Rank", "Tier", "get_critical_path_s", "get_deadline_s", "rank_phase"]


class Tier(IntEnum):
    """The tiers of waiting phases; a lower one is served first.

    ``FIRM`` is covered by a guarantee. ``URGENT`` has the most urgent priority and can
    still meet its deadline. ``TIMELY`` can meet its deadline. ``LATE`` can't, but still
    earns something; ``HOPELESS`` earns nothing.
    """

    FIRM = 0
    URGENT = 1
    TIMELY = 2
    LATE = 3
    HOPELESS = 4


class Rank(msgspec.Struct, frozen=True, order=True):
    """The rank of a waiting phase; the lowest is served first.

    ``order`` compares phases of one tier: ``URGENT`` and ``TIMELY`` ones by the latest
    start that meets the deadline, ``LATE`` ones by priority, others by when they were
    due.

    A struct, since a pass compares thousands of ranks: a decision with 176 workers and
    400 waiting steps takes 7.5 ms, against 13.5 ms with a data class.
    """

    tier: Tier
    order: float
    phase: PhaseId


def get_critical_path_s(job: ActiveJob, run: int, runtimes: QueueRuntimes) -> float:
    """Return the expected time of the critical path through a run's steps."""
    return _get_critical_path_s(job, run, runtimes, lambda phase: False)


def get_deadline_s(
    job: ActiveJob, phase: Phase, runtimes: QueueRuntimes
) -> tuple[float, float]:
    """Return the deadline of the phase's run, and its latency objective."""
    terms = job.job.terms
    critical_path_s = get_critical_path_s(job, phase.id.run, runtimes)
    objective_s = terms.stretch * critical_path_s + terms.target_ms / 1000
    return phase.due_s + objective_s, objective_s


def rank_phase(
    job: ActiveJob,
    phase: Phase,
    runtimes: QueueRuntimes,
    policy: FleetPolicy,
    now_s: float,
) -> Rank:
    """Return the rank of a waiting phase."""
    deadline_s, objective_s = get_deadline_s(job, phase, runtimes)
    remaining_s = _get_critical_path_s(job, phase.id.run, runtimes, lambda p: p.is_done)
    latest_s = deadline_s - remaining_s
    if job.firm:
        return Rank(Tier.FIRM, phase.due_s, phase.id)
    if now_s <= latest_s:
        tier = Tier.URGENT if job.priority == 0 else Tier.TIMELY
        return Rank(tier, latest_s, phase.id)
    if now_s <= latest_s + (policy.late_ratio - 1) * objective_s:
        return Rank(Tier.LATE, job.priority, phase.id)
    return Rank(Tier.HOPELESS, phase.due_s, phase.id)


def _get_critical_path_s(job, run, runtimes, is_over) -> float:
    ends: list[float] = []
    for phase in job.get_phases(run):
        begin_s = max((ends[step] for step in phase.spec.depends_on), default=0.0)
        own_s = 0.0
        if not is_over(phase):
            own_s = runtimes.predict(job.job.queue, phase.spec.estimate_ms)
        ends.append(begin_s + own_s)
    return max(ends, default=0.0)
