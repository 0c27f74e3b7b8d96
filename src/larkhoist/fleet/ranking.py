"""Rank the phases that could start by what waiting costs their jobs."""

from enum import IntEnum

from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.runtimes import QueueRuntimes
from larkhoist.fleet.task import ActiveJob, Phase

__all__ = ["Tier", "get_chain_s", "get_deadline_s", "rank_phase"]


class Tier(IntEnum):
    """Name the tiers; a lower one is served first.

    ``FIRM`` is covered by a guarantee, ``URGENT`` is of the most urgent priority
    and can still be in time, ``TIMELY`` can be in time, ``LATE`` still earns
    something, ``HOPELESS`` nothing.
    """

    FIRM = 0
    URGENT = 1
    TIMELY = 2
    LATE = 3
    HOPELESS = 4


def get_chain_s(job: ActiveJob, run: int, runtimes: QueueRuntimes) -> float:
    """Return the expected time of the longest chain of a run's steps."""
    return _get_chain_s(job, run, runtimes, lambda phase: False)


def get_deadline_s(
    job: ActiveJob, phase: Phase, runtimes: QueueRuntimes
) -> tuple[float, float]:
    """Return when the run must end to be in time, and its latency objective."""
    terms = job.job.terms
    chain_s = get_chain_s(job, phase.id.run, runtimes)
    objective_s = terms.stretch * chain_s + terms.target_ms / 1000
    return phase.due_s + objective_s, objective_s


def rank_phase(
    job: ActiveJob,
    phase: Phase,
    runtimes: QueueRuntimes,
    policy: FleetPolicy,
    now_s: float,
) -> tuple[Tier, float, str]:
    """Return the key to sort by: tier, latest useful start, job."""
    deadline_s, objective_s = get_deadline_s(job, phase, runtimes)
    left_s = _get_chain_s(job, phase.id.run, runtimes, lambda p: p.is_done)
    latest_s = deadline_s - left_s
    key = phase.id.job_id
    if job.firm:
        return Tier.FIRM, phase.due_s, key
    if now_s <= latest_s:
        tier = Tier.URGENT if job.priority == 0 else Tier.TIMELY
        return tier, latest_s, key
    if now_s <= latest_s + (policy.late_ratio - 1) * objective_s:
        return Tier.LATE, job.priority, key
    return Tier.HOPELESS, phase.due_s, key


def _get_chain_s(job, run, runtimes, is_over) -> float:
    ends: list[float] = []
    for phase in job.get_phases(run):
        begin_s = max((ends[step] for step in phase.spec.depends_on), default=0.0)
        own_s = 0.0
        if not is_over(phase):
            own_s = runtimes.predict(job.job.queue, phase.spec.estimate_ms)
        ends.append(begin_s + own_s)
    return max(ends, default=0.0)
