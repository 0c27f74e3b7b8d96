"""Check that work starts within seconds while there is room for it.

Accepted jobs had no running task for up to 20 s while dozens of accelerators were free
and not claimed; then all their tasks started at the same time. Room covered by
guarantees was withheld from work without checkpoints until half of all room was free,
counted by the scarcest of processor, memory and accelerators. No time limit ended that,
and later jobs could start first:

    event=waits reason="guarantees need the room" tier=timely tasks=8
        eligible_workers=20 free_accelerators=63 borrowable=0
    event=start-decided attempt=1 tasks=1 waited_s=15.741

In random simulations one task of one accelerator waited for 72 s beside 14 free ones.
Other preferences without a time limit held work up as well: to avoid workers on which
it had failed, though all others were full, and to avoid workers in quarantine.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from lab.progress import StallDetector
from larkhoist.jobs.spec import StagedJob, StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.disturbances import FaultInjector
from tests.fleet.machine import FleetMachine
from tests.fleet.progress import CalmPeriodCheck, find_stalls, run_and_find_stalls
from tests.fleet.test_interleavings import (
    PRODUCTION_CUT_OFF_RENEWAL_S,
    PRODUCTION_LEASE_S,
    create_play,
)

FAULTY_S = 30.0
SETTLE_S = 15.0
"""Time after the last fault; longer than a lease and a take-over."""
CHECKED_S = 60.0
CHECKED_CALM_S = 40.0
SEEDS = (*range(20), 69, 84, 123, 145, 200, 216, 221, 239, 314, 376)
"""Some seeds, and those in which work stood still for different causes."""
CALM_SEEDS = (*range(12), 69, 123, 252)
"""Some seeds, and those in which work stands still if preferences end after 6 s."""
NARROW = StepSpec(count=1, cpu_milli=2800, memory_mb=4000, accelerators=1)
CPU_HEAVY = StepSpec(
    count=12, cpu_milli=13_000, memory_mb=26_000, accelerators=1, checkpoints=True
)
"""Two tasks fill a worker's processors and memory but few of its accelerators."""
WHOLE = StepSpec(count=1, accelerators=8, cpu_milli=2800, memory_mb=4000)


def test_no_hold_keeps_work_from_room_that_nobody_claims():
    machine, job = make_loaded_machine()
    machine.submit(job)
    assert run_and_find_stalls(machine, 10.0).found == {}


def test_a_new_owner_does_not_begin_the_wait_anew():
    machine, job = make_loaded_machine()
    machine.submit(job)
    machine.run(1.0)
    machine.replace_owner()
    machine.run(2.5)
    assert has_begun(machine, job)


def test_every_task_that_lasts_is_started_again_beside_others():
    load = make_job(1, CPU_HEAVY)
    lasting = make_job(2, StepSpec(count=2, accelerators=4, long_running=True))
    guarantees = {"ann": 24, "bob": 24}
    machine = make_machine(
        6, (load, lasting), guarantees, work_s=30.0, fails=fail_once(("0", "1"))
    )
    machine.submit(lasting)
    machine.run(28.0)
    machine.submit(load)
    machine.run(9.0)
    running = {r.task for w in machine.world.workers.values() for r in w.runs.values()}
    assert {f"{lasting.job_id}.0.0.{index}" for index in range(2)} <= running


@pytest.mark.parametrize("gang", [False, True])
def test_work_goes_back_to_where_it_failed_while_all_others_are_full(gang):
    load = make_job(1, WHOLE)
    count = 2 if gang else 1
    job = make_job(2, StepSpec(count=count, accelerators=4, gang=gang), max_attempts=9)
    machine = make_machine(
        4, (load, job), work_s=20.0, fails=fail_once(("w1", "w2", "w3"))
    )
    load_s = {load.job_id: 20.0}
    machine.world.work_s_of = lambda task: load_s.get(task.split(".")[0], 0.5)
    machine.submit(load)
    machine.run(1.0)
    machine.submit(job)
    assert run_and_find_stalls(machine, 12.0).found == {}


def test_work_goes_to_workers_in_quarantine_where_no_other_has_room():
    load = make_job(1, StepSpec(count=6, accelerators=1, spread_limit=1))
    job = make_job(2, WHOLE)
    machine = make_machine(8, (load, job), work_s=40.0)
    machine.run(1.0)
    quarantine = machine.owner.scheduler.state.quarantine
    for name in ("w6", "w7"):
        for failed in ("a", "b", "b"):
            quarantine.note_failure(name, failed, 8, machine.now_s)
    machine.submit(load)
    machine.run(8.0)
    machine.submit(job)
    assert run_and_find_stalls(machine, 10.0).found == {}
    assert has_begun(machine, job)


@pytest.mark.parametrize("often", [0.0, 10.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_stands_still_once_disturbances_are_over(seed, often):
    assert play(seed, often).found == {}


@pytest.mark.parametrize("often", [0.0, 10.0])
@pytest.mark.parametrize("seed", CALM_SEEDS)
def test_nothing_stands_still_after_four_seconds_of_calm(seed, often):
    assert play_calm(seed, often).found == {}


@pytest.mark.parametrize("seed", [667, 1316, 1458])
def test_nothing_stands_still_on_a_last_attempt(seed):
    # One more failure would end the job, and only workers in quarantine have room: the
    # scheduler prefers to wait until nothing has failed on them for 6 s.
    assert play(seed, 0.0).found == {}


def make_loaded_machine() -> tuple[FleetMachine, object]:
    """Return a simulation whose load leaves accelerators free, and a job to submit."""
    load, job = make_job(1, CPU_HEAVY), make_job(2, NARROW)
    machine = make_machine(6, (load, job), {"ann": 24, "bob": 24}, work_s=30.0)
    machine.submit(load)
    machine.run(1.0)
    return machine, job


def fail_once(ends: tuple[str, ...]):
    """Return a predicate that fails the first run of a task on each worker.

    It applies if the task's name ends with one of ``ends``, or if the worker is one.
    """
    failed = set()

    def fails(task: str, worker: str) -> bool:
        if not task.endswith(ends) and worker not in ends:
            return False
        first = (task, worker) not in failed
        failed.add((task, worker))
        return first

    return fails


def has_begun(machine: FleetMachine, job) -> bool:
    return any(run.task.startswith(job.job_id) for run in machine.world.history)


def play(seed: int, often: float) -> StallDetector:
    """Simulate random jobs and faults; return what stands still after the faults.

    ``often`` is the percentage of steps that inject a fault.
    """
    played = _run_with_faults(often, *create_play(seed))
    played.machine.run(SETTLE_S)
    stills = StallDetector(any_rack=True)
    _run_and_check(played, CHECKED_S, lambda machine: find_stalls(machine, stills))
    return stills


def play_calm(seed: int, often: float) -> StallDetector:
    """Simulate the same with the deployed times; check each calm period."""
    drawn = create_play(seed, PRODUCTION_LEASE_S, PRODUCTION_CUT_OFF_RENEWAL_S)
    played = _run_with_faults(often, *drawn)
    calm = CalmPeriodCheck()
    _run_and_check(played, CHECKED_CALM_S, calm.look)
    return calm.stills


@dataclass(frozen=True, slots=True)
class _FaultedRun:
    """A simulation after its faults, with the jobs that are not submitted yet."""

    machine: FleetMachine
    rng: random.Random
    waiting: list[StagedJob]
    injector: FaultInjector


def _run_with_faults(
    often: float,
    machine: FleetMachine,
    rng: random.Random,
    waiting: list[StagedJob],
) -> _FaultedRun:
    injector = FaultInjector(machine, rng, often)
    until_s = machine.now_s + FAULTY_S
    while machine.now_s < until_s:
        if len(waiting) > 6 and rng.random() < 0.05:
            machine.submit(waiting.pop())
        injector.step()
        machine.step()
    injector.end()
    return _FaultedRun(machine, rng, waiting, injector)


def _run_and_check(
    played: _FaultedRun, seconds: float, look: Callable[[FleetMachine], None]
) -> None:
    """Advance time, submit the remaining jobs and call ``look`` after each step."""
    machine = played.machine
    until_s = machine.now_s + seconds
    while machine.now_s < until_s:
        if played.waiting and played.rng.random() < 0.02:
            machine.submit(played.waiting.pop())
        played.injector.step()
        machine.step()
        look(machine)
