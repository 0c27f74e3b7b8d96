"""Print how long decisions take while urgent gangs claim room on full workers."""

import random
import time

from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.scheduler import FleetScheduler, create_fleet_scheduler
from larkhoist.jobs.registry import StagedJobEntry
from larkhoist.jobs.spec import JobTerms, StagedJob, StepSpec
from larkhoist.ports.fleet import ListedTaskWorker, Resources

__all__ = ["measure_claims", "print_claims"]

WORKER_COUNTS = (24, 88, 270, 832)
CASES = ((30, 0), (30, 200), (100, 200))
"""Pairs: urgent gangs that arrive at once, other steps already waiting."""
WORKER_RESOURCES = Resources(32_000, 65_536, 8)
WORKERS_PER_RACK = 20
FILLER_TASKS = 40
SEED = 1


def print_claims() -> None:
    """Print the longest decision, and the sum until all gangs have claimed, in ms."""
    print("urgent gangs come, all workers full: longest decision / all of them, ms")
    header = "".join(
        f"{f'{gangs} gangs, {waiting} wait':>22}" for gangs, waiting in CASES
    )
    print(f"  {'workers':>7}{header}")
    for workers in WORKER_COUNTS:
        row = f"  {workers:>7}"
        for gangs, waiting in CASES:
            times_s = measure_claims(workers, gangs, waiting)
            row += f"{f'{max(times_s) * 1000:.0f} / {sum(times_s) * 1000:.0f}':>22}"
        print(row)


def measure_claims(workers: int, gangs: int, others: int) -> list[float]:
    """Return the seconds that each decision takes until every gang has claimed room.

    ``others`` steps of lower priority are waiting before the gangs arrive.
    """
    rng = random.Random(SEED)
    scheduler = create_fleet_scheduler(FleetPolicy(), 0.0)
    scheduler.update_workers([_make_worker(number) for number in range(workers)], 0.0)
    for name in list(scheduler.state.workers):
        scheduler.note_heard(name, 0.0)
    scheduler.set_guarantees({"ann": workers * 8})
    _fill(scheduler, workers)
    scheduler.decide(0.0, 0)
    number = workers
    for _ in range(others):
        number += 1
        _add(scheduler, number, _draw_step(rng, gang=rng.random() < 0.5), 1)
    scheduler.decide(1.0, 0)
    for _ in range(gangs):
        number += 1
        _add(scheduler, number, _draw_step(rng, gang=True), 0)
    durations_s = []
    while not durations_s or scheduler.has_more:
        began_s = time.perf_counter()
        scheduler.decide(2.0, 0)
        durations_s.append(time.perf_counter() - began_s)
    return durations_s


def _fill(scheduler: FleetScheduler, workers: int) -> None:
    step = StepSpec(FILLER_TASKS, 2800, 4100, 1, estimate_ms=6000, checkpoints=True)
    for number in range(workers * 8 // FILLER_TASKS + 1):
        _add(scheduler, number, step, 2)


def _add(scheduler, number: int, step: StepSpec, priority: int) -> None:
    terms = JobTerms("service", priority, 3, 3.0, 1000)
    customer = "ann" if priority == 0 else "bob"
    job = StagedJob(
        f"{number:016x}", f"queue-{priority}", customer, "text", (step,), terms, 0
    )
    scheduler.add_job(StagedJobEntry(job), 0.0, 0)


def _draw_step(rng: random.Random, *, gang: bool) -> StepSpec:
    return StepSpec(
        count=rng.randint(2, 16),
        cpu_milli=3700,
        memory_mb=5000,
        accelerators=rng.choice((1, 2, 4, 8)),
        estimate_ms=2500,
        gang=gang,
        same_rack=gang,
    )


def _make_worker(number: int) -> ListedTaskWorker:
    rack = f"r{number // WORKERS_PER_RACK}"
    labels = frozenset(("a", rack))
    name = f"w{number}"
    return ListedTaskWorker(
        name, "service", name, "hall", rack, labels, WORKER_RESOURCES, False, None, 0
    )
