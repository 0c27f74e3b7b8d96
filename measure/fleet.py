"""Print how long a decision on staged jobs takes, by workers and waiting steps."""

import random
import time

from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.scheduler import FleetScheduler, create_fleet_scheduler
from larkhoist.jobs.registry import StagedJobEntry
from larkhoist.jobs.spec import JobTerms, StagedJob, StepSpec
from larkhoist.ports.fleet import ListedTaskWorker, Resources

__all__ = ["print_fleet"]

WORKER_COUNTS = (24, 176, 832)
WAITING_COUNTS = (10, 100, 400)
WORKER_RESOURCES = Resources(32_000, 131_072, 8)
WORKERS_PER_RACK = 8
DECISIONS = 10
DECISION_INTERVAL_S = 0.6
"""Longer than the 0.5 s for which the scheduler skips placement if nothing changed."""


def print_fleet() -> None:
    """Print the mean milliseconds of a decision while all workers are full."""
    print("one decision about staged jobs, all workers full")
    for workers in WORKER_COUNTS:
        for waiting in WAITING_COUNTS:
            mean_ms = _measure(workers, waiting)
            print(f"  {workers:>5} workers, {waiting:>4} waiting: {mean_ms:>7.2f} ms")


def _measure(workers: int, waiting: int) -> float:
    rng = random.Random(1)
    scheduler = create_fleet_scheduler(FleetPolicy(), 0.0)
    scheduler.update_workers([_make_worker(n) for n in range(workers)], 0.0)
    for name in list(scheduler.state.workers):
        scheduler.note_heard(name, 0.0)
    scheduler.set_guarantees({"ann": workers * 4})
    _add(scheduler, 0, StepSpec(count=workers * 8, accelerators=1, checkpoints=True))
    scheduler.decide(0.0, 0)
    for number in range(1, waiting + 1):
        _add(scheduler, number, _draw_step(rng))
    began_s = time.perf_counter()
    for number in range(DECISIONS):
        scheduler.decide(1.0 + number * DECISION_INTERVAL_S, 0)
    return (time.perf_counter() - began_s) / DECISIONS * 1000


def _add(scheduler: FleetScheduler, number: int, step: StepSpec) -> None:
    terms = JobTerms("service", 1, 3, 3.0, 1000)
    job = StagedJob(f"{number:016x}", "queue", "ann", "text", (step,), terms, 0)
    scheduler.add_job(StagedJobEntry(job), 0.0, 0)


def _draw_step(rng: random.Random) -> StepSpec:
    gang = rng.random() < 0.5
    return StepSpec(
        count=rng.randint(1, 16),
        cpu_milli=rng.choice((2800, 13000)),
        memory_mb=11_000,
        accelerators=rng.choice((1, 2, 4, 8)),
        estimate_ms=9000,
        gang=gang,
        same_rack=gang,
        checkpoints=rng.random() < 0.5,
    )


def _make_worker(number: int) -> ListedTaskWorker:
    rack = f"r{number // WORKERS_PER_RACK}"
    labels = frozenset(("a", rack))
    name = f"w{number}"
    return ListedTaskWorker(
        name, "service", name, "hall", rack, labels, WORKER_RESOURCES, False, None, 0
    )
