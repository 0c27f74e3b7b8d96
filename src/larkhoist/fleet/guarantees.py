"""Decide which jobs are covered by their customer's guarantee."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from larkhoist.fleet.task import ActiveJob

__all__ = ["get_max_accelerators", "mark_firm"]


def get_max_accelerators(active: ActiveJob) -> int:
    """Return the number of accelerators that the largest step of a job needs."""
    return max(step.count * step.accelerators for step in active.job.steps)


def mark_firm(jobs: Iterable[ActiveJob], guarantees: Mapping[str, int]) -> None:
    """Mark jobs of priority 0 as firm, oldest first, within their guarantees."""
    used: dict[str, int] = defaultdict(int)
    for active in sorted(jobs, key=lambda a: (a.submitted_s, a.job.job_id)):
        active.firm = False
        if active.priority != 0 or active.ended:
            continue
        customer = active.job.customer
        needed = get_max_accelerators(active)
        if used[customer] + needed <= guarantees.get(customer, 0):
            used[customer] += needed
            active.firm = True
