"""Tell which jobs are covered by their customer's guarantee."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from larkhoist.fleet.task import ActiveJob

__all__ = ["get_claim", "mark_firm"]


def get_claim(active: ActiveJob) -> int:
    """Return how many accelerators a job needs at once at the most."""
    return max(step.count * step.accelerators for step in active.job.steps)


def mark_firm(jobs: Iterable[ActiveJob], guarantees: Mapping[str, int]) -> None:
    """Mark the most urgent jobs as firm, oldest first, as far as guarantees reach."""
    used: dict[str, int] = defaultdict(int)
    for active in sorted(jobs, key=lambda a: (a.submitted_s, a.job.job_id)):
        active.firm = False
        if active.priority != 0 or active.ended:
            continue
        customer = active.job.customer
        claim = get_claim(active)
        if used[customer] + claim <= guarantees.get(customer, 0):
            used[customer] += claim
            active.firm = True
