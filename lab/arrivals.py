"""Draw the jobs of a day from its plan and a seed.

Each purpose has a random generator of its own, so that the draws for one do not
change those for another.
"""

import dataclasses
import math
import random
from dataclasses import dataclass

from msgspec.structs import replace

from lab.kinds import CrashingWork, DayPlan, JobKind
from larkhoist.jobs.spec import JobTerms, StagedJob, StepSpec

__all__ = ["Arrival", "draw_arrivals", "get_rack", "get_shares"]

SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job, its arrival time and the actual run times of its tasks.

    ``work_s`` is indexed by step, then by task. If ``crashes`` is set, the job's first
    task crashes each worker that starts it.
    """

    at_s: float
    kind: JobKind
    job: StagedJob
    work_s: tuple[tuple[float, ...], ...]
    cancel_s: float | None
    always_fails: bool
    crashes: bool = False

    @property
    def chain_s(self) -> float:
        """Return the sum over the steps of their longest task, in seconds."""
        return sum(max(step) for step in self.work_s)

    @property
    def core_s(self) -> float:
        """Return all work in core-seconds; an accelerator counts as 8 cores."""
        steps = zip(self.job.steps, self.work_s, strict=True)
        return sum(
            (step.cpu_milli / 1000 + 8 * step.accelerators) * sum(work)
            for step, work in steps
        )


def draw_arrivals(plan: DayPlan, seed: int) -> list[Arrival]:
    """Return the jobs of a day, ordered by arrival time."""
    arrivals = []
    for kind in plan.kinds:
        times = random.Random(f"times {kind.name} {seed}")
        shape_rng = random.Random(f"shapes {kind.name} {seed}")
        for at_s in _draw_times(plan, kind, times):
            number = len(arrivals)
            arrivals.append(_draw_job(plan, kind, number, at_s, shape_rng))
    crash_rng = random.Random(f"crashing {seed}")
    share = sum(f.share for f in plan.faults if isinstance(f, CrashingWork))
    arrivals = [
        dataclasses.replace(one, crashes=crash_rng.random() < share) for one in arrivals
    ]
    return sorted(arrivals, key=lambda one: (one.at_s, one.job.job_id))


def get_rack(plan: DayPlan, number: int) -> str:
    """Return the rack of the worker with this number."""
    return f"r{number // plan.per_rack}"


def get_shares(customers: int) -> list[float]:
    """Return the share of the jobs that each customer submits; a few are large."""
    weights = [1 / (1 + number) for number in range(customers)]
    return [weight / sum(weights) for weight in weights]


def _draw_times(plan: DayPlan, kind: JobKind, rng: random.Random) -> list[float]:
    """Draw arrival times by thinning a Poisson process of the highest rate.

    The jobs that are queued when the day begins come first, 1 ms apart.
    """
    initial_jobs = round(kind.initial_jobs * plan.load)
    times = [0.001 * number for number in range(initial_jobs)]
    bursts = [burst for burst in plan.bursts if burst.kind == kind.name]
    highest = max((burst.factor for burst in bursts), default=1.0)
    rate = kind.per_s * plan.load
    at_s = 0.0
    while True:
        at_s += rng.expovariate(rate * highest)
        if at_s >= plan.length_s:
            return times
        factor = max(
            (b.factor for b in bursts if b.at_s <= at_s < b.at_s + b.for_s), default=1.0
        )
        if rng.random() < factor / highest:
            times.append(at_s)


def _draw_job(
    plan: DayPlan, kind: JobKind, number: int, at_s: float, rng: random.Random
) -> Arrival:
    """Draw a job; another order of the draws would change the day of every seed."""
    width = _draw_size(rng, kind.width, kind.width_spread, kind.max_width)
    mean_s = _draw_size(rng, kind.work_s, kind.work_spread, kind.max_work_s)
    steps = [_draw_step(plan, kind, max(1, round(width)), mean_s, rng)]
    if rng.random() < kind.second_step:
        steps.append(replace(steps[0], depends_on=(0,)))
    work_s = tuple(_draw_work(kind, step, mean_s, rng) for step in steps)
    target_ms = round(kind.target_s * 1000)
    terms = JobTerms(SERVICE, kind.priority, kind.attempts, kind.stretch, target_ms)
    job = StagedJob(
        f"{number:016x}",
        kind.name,
        f"c{_draw_customer(plan, rng)}",
        "text",
        tuple(steps),
        terms,
        round(at_s * 1000),
    )
    cancel_s = None
    if rng.random() < kind.cancelled:
        cancel_s = at_s + rng.uniform(0.5, 2 * mean_s)
    return Arrival(at_s, kind, job, work_s, cancel_s, rng.random() < kind.always_fails)


def _draw_step(
    plan: DayPlan, kind: JobKind, count: int, mean_s: float, rng: random.Random
) -> StepSpec:
    estimate_s = mean_s * (1 + rng.uniform(-1, 1) * kind.estimate_error)
    accelerators = rng.choice(kind.accelerators)
    checkpoints = rng.random() < kind.checkpoints
    same_rack = kind.gang and rng.random() < kind.same_rack
    data_rack = ""
    if rng.random() < kind.data_rack:
        data_rack = get_rack(plan, plan.per_rack * rng.randrange(plan.racks))
    spread_limit = 0
    if rng.random() < kind.spread_limit:
        spread_limit = rng.randint(1, 3)
    label = ""
    if kind.label and rng.random() < kind.label:
        label = get_rack(plan, plan.per_rack * rng.randrange(plan.racks))
    return StepSpec(
        count=count,
        cpu_milli=kind.cpu_milli,
        memory_mb=kind.memory_mb,
        accelerators=accelerators,
        estimate_ms=max(50, round(estimate_s * 1000)),
        checkpoints=checkpoints,
        gang=kind.gang,
        same_rack=same_rack,
        label=label,
        data_rack=data_rack,
        spread_limit=spread_limit,
    )


def _draw_work(
    kind: JobKind, step: StepSpec, mean_s: float, rng: random.Random
) -> tuple[float, ...]:
    """Draw the run time of each task in seconds; all tasks of a gang take the same."""
    drawn = tuple(
        mean_s * (1 + rng.uniform(-1, 1) * kind.task_variation)
        for _ in range(1 if step.gang else step.count)
    )
    return drawn * step.count if step.gang else drawn


def _draw_customer(plan: DayPlan, rng: random.Random) -> int:
    shares = get_shares(plan.customers)
    return rng.choices(range(plan.customers), shares)[0]


def _draw_size(rng: random.Random, mean: float, spread: float, upper: float) -> float:
    """Draw from a log-normal distribution, cut at ``upper``."""
    if not spread:
        return mean
    variance = math.log(1 + spread * spread)
    drawn = rng.lognormvariate(math.log(mean) - variance / 2, math.sqrt(variance))
    return min(upper, max(mean / 20, drawn))
