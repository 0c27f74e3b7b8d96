"""Track which guarantees of a data hall are in use."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from larkhoist.log.objects import CustomerSpec
from larkhoist.placement.guarantee import (
    can_cover,
    count_cells,
    get_needed_cells,
    subtract_claims,
)
from larkhoist.placement.index import FreeIndex
from larkhoist.scheduling.hall_job import HallJob, JobPhase

__all__ = ["GuaranteeBook"]


@dataclass(slots=True)
class GuaranteeBook:
    """The customers' guarantees; ``firm`` counts reclaimable accelerators as free."""

    hall: str
    firm: FreeIndex
    customers: dict[str, CustomerSpec] = field(default_factory=dict)

    def fits(self, job: HallJob, jobs: Iterable[HallJob]) -> bool:
        """Tell whether a job fits into the unused part of its customer's guarantee."""
        customer = self.customers.get(job.spec.customer)
        if customer is None:
            return False
        claims = [
            get_needed_cells(other.spec)
            for other in jobs
            if other.firm and other is not job and other.spec.customer == customer.name
        ]
        claims.append(get_needed_cells(job.spec))
        return subtract_claims(self._get_guarantee(customer), claims) is not None

    def check(
        self, jobs: Iterable[HallJob], claimant: HallJob | None = None
    ) -> tuple[bool, str]:
        """Tell whether all unused guaranteed cells are available, and if not, why.

        ``claimant`` counts as if it were running.
        """
        unclaimed = self._get_unclaimed(list(jobs), claimant)
        return can_cover(self.firm, unclaimed, self.firm.get_largest_size())

    def _get_unclaimed(
        self, jobs: list[HallJob], claimant: HallJob | None
    ) -> Counter[int]:
        unclaimed: Counter[int] = Counter()
        for customer in self.customers.values():
            if not customer.guarantees:
                continue
            claims = [
                get_needed_cells(job.spec)
                for job in jobs
                if job.firm
                and job.spec.customer == customer.name
                and (job.phase is JobPhase.ACTIVE or job is claimant)
            ]
            left = subtract_claims(self._get_guarantee(customer), claims)
            unclaimed.update(left or Counter())
        return unclaimed

    def _get_guarantee(self, customer: CustomerSpec) -> Counter[int]:
        cells: Counter[int] = Counter()
        for guarantee in customer.guarantees:
            if guarantee.hall == self.hall:
                cells.update(count_cells(guarantee.cells))
        return cells
