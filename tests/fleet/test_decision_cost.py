"""Test how the cost of one decision grows with what callers hand in."""

import tracemalloc

import pytest

from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.runtimes import QueueRuntimes
from larkhoist.fleet.scheduler import FleetScheduler, create_fleet_scheduler
from larkhoist.fleet.task import Phase, TaskState
from larkhoist.jobs.registry import JobRegistry, StagedJobEntry
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from tests.fleet.cases import make_job
from tests.fleet.machine import START_MS

NOW_S = 100.0
NOW_MS = START_MS + 100_000
ONE_CORE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, estimate_ms=500)


def make_scheduler(workers: int = 8) -> FleetScheduler:
    scheduler = create_fleet_scheduler(FleetPolicy(), NOW_S)
    room = Resources(16_000, 64_000, 8)
    listed = [
        ListedTaskWorker(
            f"w{n}", "service", f"w{n}", "h", "r", frozenset(), room, False, None, 0
        )
        for n in range(workers)
    ]
    scheduler.update_workers(listed, NOW_S)
    for entry in listed:
        scheduler.note_heard(entry.name, NOW_S)
    return scheduler


class CountedRuntimes(QueueRuntimes):
    """Predict as usual and count the predictions."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def predict(self, queue: str, declared_ms: int) -> float:
        self.count += 1
        return super().predict(queue, declared_ms)


def count_predictions(steps: int) -> int:
    scheduler = make_scheduler()
    scheduler.state.runtimes = counted = CountedRuntimes()
    job = make_job(1, *[ONE_CORE] * steps)
    scheduler.add_job(StagedJobEntry(job), NOW_S, NOW_MS)
    scheduler.decide(NOW_S, NOW_MS)
    return counted.count


def test_a_job_of_many_steps_does_not_cost_the_square_of_their_number():
    # Guards against passes that block the owner until others claim its tenure.
    assert count_predictions(400) <= 2.2 * count_predictions(200)


def test_a_wide_step_is_not_visited_again_by_each_step_that_depends_on_it():
    # Guards against a time that grows with the tasks times the steps behind them.
    scheduler = make_scheduler()
    job = make_job(1, StepSpec(count=1000, cpu_milli=10))
    active = scheduler.state.add_job(StagedJobEntry(job), NOW_S, NOW_MS)
    phase = active.phases[(0, 0)]
    visits = CountedTasks(phase)
    assert phase.is_done
    visits.clear()
    assert all(phase.is_done for _ in range(100))
    assert visits.count <= 100


class CountedTasks(list):
    """The done tasks of a phase, with a count of how often one is visited."""

    def __init__(self, phase: Phase):
        super().__init__(phase.tasks)
        self.count = 0
        for task in phase.tasks:
            task.state = TaskState.DONE
        phase.tasks = self

    def clear(self) -> None:
        """Reset the count."""
        self.count = 0

    def __getitem__(self, index):
        self.count += 1
        return super().__getitem__(index)

    def __iter__(self):
        for task in super().__iter__():
            self.count += 1
            yield task


@pytest.mark.parametrize("jobs", [100, 3000])
def test_a_decision_on_many_jobs_is_made_in_parts(jobs):
    # Guards against a step that keeps the owner from renewing its tenure.
    scheduler = make_scheduler()
    for number in range(jobs):
        job = make_job(number, ONE_CORE)
        scheduler.add_job(StagedJobEntry(job), NOW_S, NOW_MS)
    parts = sum(1 for _ in scheduler.decide_in_parts(NOW_S, NOW_MS))
    assert parts >= jobs // 100
    round_ = scheduler.take_round(NOW_S, NOW_MS)
    assert len(round_.starts) == min(jobs, 8 * 16)


def test_many_jobs_are_taken_over_in_parts():
    # Guards against a take-over that lasts longer than the tenure does unrenewed.
    registry = JobRegistry()
    for number in range(3000):
        job = make_job(number, ONE_CORE)
        registry.entries[job.job_id] = StagedJobEntry(job)
    scheduler = make_scheduler()
    assert sum(1 for _ in scheduler.load_jobs_in_parts(registry, NOW_S, NOW_MS)) >= 5
    assert len(scheduler.state.jobs) == 3000


def fill_workers(scheduler: FleetScheduler) -> None:
    """Run a task of each accelerator, and a task without needs on each worker."""
    workers = len(scheduler.state.workers)
    filling = StepSpec(
        count=workers + 1, spread_limit=1, fills=True, long_running=True, cpu_milli=2000
    )
    borrowed = StepSpec(count=8 * workers, accelerators=1, estimate_ms=9000)
    for number, (step, priority) in enumerate(((filling, 0), (borrowed, 2))):
        job = make_job(number, step, priority=priority)
        scheduler.add_job(StagedJobEntry(job), NOW_S, NOW_MS)
    scheduler.decide(NOW_S, NOW_MS)


def measure_peak(decide) -> int:
    """Return the most bytes that ``decide`` holds beyond what is held before it."""
    tracemalloc.start()
    decide()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak


def test_a_search_for_victims_of_a_step_without_needs_takes_little_memory():
    # Guards against 8 MB for each worker, by which owners exceeded their memory.
    scheduler = make_scheduler(24)
    fill_workers(scheduler)
    later_s, later_ms = NOW_S + 1.0, NOW_MS + 1000
    peak = measure_peak(lambda: scheduler.decide(later_s, later_ms))
    assert peak < 2_000_000


def test_a_search_for_victims_of_small_tasks_takes_little_memory():
    # Guards against a slot for each time that a small task fits into a victim's room.
    scheduler = make_scheduler(24)
    load = StepSpec(count=24, cpu_milli=16_000, accelerators=8, estimate_ms=9000)
    loaded = make_job(1, load, priority=2)
    scheduler.add_job(StagedJobEntry(loaded), NOW_S, NOW_MS)
    scheduler.decide(NOW_S, NOW_MS)
    small = make_job(2, StepSpec(count=4, cpu_milli=1, estimate_ms=9000), priority=0)
    scheduler.add_job(StagedJobEntry(small), NOW_S, NOW_MS)
    peak = measure_peak(lambda: scheduler.decide(NOW_S, NOW_MS))
    assert peak < 2_000_000
