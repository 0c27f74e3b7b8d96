"""Score a replayed day by kind of job and by customer."""

from collections import defaultdict
from dataclasses import dataclass, field

from lab.arrivals import Arrival
from lab.kinds import DayPlan
from lab.progress import StallDetector
from lab.workers import Waste

__all__ = ["DayResult", "ScoreTotals", "SpeedSample"]

LATE_RATIO = 3.0
"""A job earns ``late_worth`` until this many times its objective; a requirement."""
SIZE_SHARE = 0.7
LARGEST = 4.0
"""A job's weight is 0.3 plus 0.7 times its size divided by the mean size of its kind,
at most 4."""
WASTE_PRICE = 7e-7
"""Score lost for each core-second of discarded work with 270 workers; scaled inversely
for other numbers. Five scored days of that size gave 5.9e-7 to 7.6e-7."""


@dataclass(slots=True)
class ScoreTotals:
    """The attainable and earned worth of a kind or customer; waits in seconds."""

    attainable: float = 0.0
    earned: float = 0.0
    jobs: int = 0
    in_time: int = 0
    late: int = 0
    waits_s: list[float] = field(default_factory=list)

    @property
    def served(self) -> float:
        """Return the share of the attainable worth that was earned."""
        return self.earned / self.attainable if self.attainable else 1.0


@dataclass(frozen=True, slots=True)
class SpeedSample:
    """The factors that were learnt by ``at_s``, each divided by the drawn one.

    Workers of which nothing is known are not among them.
    """

    at_s: float
    is_uneven: bool
    ratios: tuple[float, ...]


@dataclass(slots=True)
class DayResult:
    """The result of a replayed day; ``took_s`` is the wall time of all decisions.

    ``stills`` holds the steps that stood still while at most half of the room was in
    use, ``full_stills`` those that had room twice over, however much was in use.
    """

    plan: DayPlan
    kinds: dict[str, ScoreTotals] = field(default_factory=dict)
    customers: dict[str, ScoreTotals] = field(default_factory=dict)
    waste: Waste = field(default_factory=Waste)
    used: list[float] = field(default_factory=list)
    given_up: int = 0
    decisions: int = 0
    took_s: float = 0.0
    longest_s: float = 0.0
    speeds: list[SpeedSample] = field(default_factory=list)
    stills: StallDetector = field(default_factory=StallDetector)
    full_stills: StallDetector = field(
        default_factory=lambda: StallDetector(ignore_usage=True)
    )

    @property
    def earned_share(self) -> float:
        """Return the share of the day's worth that was earned."""
        attainable = sum(kind.attainable for kind in self.kinds.values())
        return sum(kind.earned for kind in self.kinds.values()) / attainable

    @property
    def worst_customers(self) -> float:
        """Return the mean share that the worst tenth of the customers earned."""
        shares = sorted(one.served for one in self.customers.values() if one.attainable)
        worst = shares[: max(1, len(shares) // 10)]
        return sum(worst) / len(worst)

    @property
    def worst_kind(self) -> float:
        """Return the share that the worst kind earned."""
        return min(kind.served for kind in self.kinds.values())

    @property
    def wasted(self) -> float:
        """Return the score lost to discarded work."""
        return self.waste.core_s * WASTE_PRICE * 270 / self.plan.workers

    @property
    def worth(self) -> float:
        """Return the score of the day, as far as a replay can compute it.

        The score's terms for the worst data halls and the worst seconds are
        approximated by the whole day.
        """
        whole = (0.6 + 0.2 + 0.12) * self.earned_share
        parts = whole + 0.16 * self.worst_customers + 0.08 * self.worst_kind
        return parts / 1.16 - self.wasted


def score_day(
    plan: DayPlan,
    arrivals: list[Arrival],
    ended_s: dict[str, float],
    failed: set[str],
    began_s: dict[str, float],
) -> DayResult:
    """Return the result of a day with what its jobs earned."""
    result = DayResult(plan)
    result.kinds = {kind.name: ScoreTotals() for kind in plan.kinds}
    customers: dict[str, ScoreTotals] = defaultdict(ScoreTotals)
    sizes = _get_mean_sizes(arrivals)
    for arrival in arrivals:
        if arrival.cancel_s is not None or arrival.crashes:
            continue
        job_id = arrival.job.job_id
        size = min(
            LARGEST,
            1 - SIZE_SHARE + SIZE_SHARE * arrival.core_s / sizes[arrival.kind.name],
        )
        earned, late = _get_earned(arrival, ended_s.get(job_id), job_id in failed)
        for total in (
            result.kinds[arrival.kind.name],
            customers[arrival.job.customer],
        ):
            total.attainable += size * arrival.kind.worth
            total.earned += size * earned
            total.jobs += 1
            total.in_time += earned > 0 and not late
            total.late += late
            if job_id in began_s:
                total.waits_s.append(began_s[job_id] - arrival.at_s)
    result.customers = dict(customers)
    return result


def _get_mean_sizes(arrivals: list[Arrival]) -> dict[str, float]:
    sizes: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        sizes[arrival.kind.name].append(arrival.core_s)
    return {name: sum(values) / len(values) for name, values in sizes.items()}


def _get_earned(arrival: Arrival, ended_s: float | None, failed: bool):
    """Return what a job of mean size earned, and whether it was late."""
    kind = arrival.kind
    if ended_s is None or (failed and not arrival.always_fails):
        return 0.0, False
    objective_s = kind.stretch * arrival.chain_s + kind.target_s
    took_s = ended_s - arrival.at_s
    if took_s <= objective_s:
        return kind.worth, False
    if took_s <= LATE_RATIO * objective_s:
        return kind.late_worth, True
    return 0.0, False
