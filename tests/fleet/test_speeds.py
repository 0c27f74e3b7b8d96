"""Test the estimates of how fast workers are."""

import random

from larkhoist.fleet.speeds import WorkerSpeeds
from larkhoist.jobs.spec import StepSpec
from tests.fleet.cases import make_job, make_machine


def test_a_worker_of_which_nothing_is_known_counts_as_average():
    assert WorkerSpeeds().get_factor("w0") == 1.0


def test_slow_workers_are_told_apart_after_a_few_uneven_tasks():
    rng = random.Random(1)
    speeds = WorkerSpeeds()
    for _ in range(6):
        for number in range(30):
            duration_factor = 1.3 if number % 3 == 0 else 1.0
            took_s = duration_factor * rng.uniform(0.85, 1.15)
            speeds.note(f"w{number}", took_s, 1.1)
    slow = [speeds.get_factor(f"w{n}") for n in range(30) if n % 3 == 0]
    fast = [speeds.get_factor(f"w{n}") for n in range(30) if n % 3]
    assert min(slow) > max(fast)


def test_a_task_that_stood_still_does_not_condemn_its_worker():
    speeds = WorkerSpeeds()
    for _ in range(4):
        speeds.note("w0", 1.0, 1.0)
    speeds.note("w0", 500.0, 1.0)
    assert speeds.get_factor("w0") < 1.5


def test_a_worker_that_recovers_is_believed_again():
    speeds = WorkerSpeeds()
    for _ in range(3):
        speeds.note("w0", 6.0, 1.0)
    for _ in range(15):
        speeds.note("w0", 1.0, 1.0)
    assert speeds.get_factor("w0") < 1.2


def test_a_gang_takes_the_fast_workers_of_a_rack():
    gang = StepSpec(count=2, accelerators=8, gang=True, same_rack=True)
    job = make_job(1, gang)
    machine = make_machine(4, (job,))
    for _ in range(10):
        for name in ("w0", "w2"):
            machine.owner.scheduler.state.speeds.note(name, 1.3, 1.0)
    machine.submit(job)
    machine.run(1)
    assert {run.worker for run in machine.world.history} == {"w1", "w3"}


def test_speeds_come_from_tasks_of_one_step():
    step = StepSpec(count=16, accelerators=1, estimate_ms=1000)
    job = make_job(1, step)
    machine = make_machine(2, (job,))
    machine.world._work_s_of = lambda task: 1.0 + (int(task[-1]) % 2)
    machine.submit(job)
    machine.run(6)
    counts = [m.count for m in machine.owner.scheduler.state.speeds._workers.values()]
    assert sum(counts) == 16 - 3
