"""Check that the promises hold under random interleavings of faults."""

import random

import pytest

from larkhoist.jobs import records
from larkhoist.jobs.spec import StagedJob, StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import (
    check_begun,
    check_given_up,
    check_history,
    check_outcomes,
    check_running,
)
from tests.fleet.disturbances import FaultInjector
from tests.fleet.machine import PREDECESSOR_S, FleetMachine

SEEDS = 100
CRASHING_SEEDS = 50
RESTARTING_SEEDS = 50
BLOCK_SEEDS = 60
STOPPED_SHARE = 0.6
"""Share of the decisions that change several blocks after which the owner stops."""
CRASHING_SHARE = 0.15
"""Share of jobs with a task that crashes each worker that starts it."""
FAULTY_S = 40.0
RECOVERY_S = 150.0
WORK_S = (0.5, 1.5, 4.0, 12.0)
"""Run times of tasks; some outlast a lease that is not renewed."""
CLOCK_RATES = (0.98, 0.99, 1.0)
PRODUCTION_LEASE_S = 10.0
PRODUCTION_CUT_OFF_RENEWAL_S = 8.0


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_promise_breaks_and_every_job_ends(seed):
    play(seed)


def play(
    seed: int,
    *,
    crashing: bool = False,
    restarting: bool = False,
    lease_s: float | None = None,
    cut_off_renewal_s: float = PREDECESSOR_S,
    blocks: tuple[bool, ...] = (False,),
) -> FleetMachine:
    """Simulate random jobs and faults and check every promise."""
    machine, rng, waiting = create_play(seed, lease_s, cut_off_renewal_s, blocks)
    if crashing:
        choose_crashing_tasks(machine, seed, waiting)
    restart_rng = random.Random(f"restarting {seed}") if restarting else None
    often = rng.choice((5.0, 10.0, 30.0))
    injector = FaultInjector(machine, rng, often, restart_rng)
    until_s = machine.now_s + FAULTY_S
    stop_rng = random.Random(f"stopping {seed}")
    while machine.now_s < until_s:
        if waiting and rng.random() < 0.1:
            machine.submit(waiting.pop())
        if machine.has_uncommitted_blocks and stop_rng.random() < STOPPED_SHARE:
            machine.replace_owner()
        injector.step()
        machine.step()
        check_running(machine)
        check_begun(machine)
    injector.end()
    for job in waiting:
        machine.submit(job)
    until_s = machine.now_s + RECOVERY_S
    while machine.now_s < until_s:
        injector.step()
        machine.step()
        check_running(machine)
    check_history(machine)
    check_outcomes(machine)
    check_given_up(machine)
    return machine


def choose_crashing_tasks(
    machine: FleetMachine, seed: int, jobs: list[StagedJob]
) -> None:
    """Have a task of some jobs crash its workers, at once or after a delay."""
    rng = random.Random(f"crashing {seed}")
    crashing = set()
    for job in jobs:
        if rng.random() < CRASHING_SHARE:
            index = rng.randrange(job.steps[0].count)
            crashing.add(f"{job.job_id}.0.0.{index}")
    machine.world.crashes = crashing.__contains__
    machine.world.crash_after_s = rng.choice((0.0, 0.0, 0.4, 2.0))


def create_play(
    seed: int,
    lease_s: float | None = None,
    cut_off_renewal_s: float = PREDECESSOR_S,
    blocks: tuple[bool, ...] = (False,),
) -> tuple[FleetMachine, random.Random, list[StagedJob]]:
    """Return a simulation after an idle time, its random source and its jobs.

    The lease is random if none is given.
    """
    rng = random.Random(seed)
    idle_s = rng.choice((0.0, 0.0, 20.0, 120.0, 600.0))
    jobs = tuple(_draw_job(rng, number, 102.0 + idle_s) for number in range(12))
    failing_worker = f"w{rng.randrange(6)}" if rng.random() < 0.3 else ""
    failing_jobs = {jobs[3].job_id} if rng.random() < 0.5 else set()
    work_s, drawn_lease_s = rng.choice(WORK_S), rng.choice((6.0, 10.0))
    machine = make_machine(
        6,
        jobs,
        {"ann": 16, "bob": 8},
        seed,
        work_s,
        lambda task, worker: (
            worker == failing_worker or task.split(".")[0] in failing_jobs
        ),
        drawn_lease_s if lease_s is None else lease_s,
        cut_off_renewal_s,
        blocks,
    )
    for worker in machine.world.workers.values():
        worker.rate = rng.choice(CLOCK_RATES)
    machine.run(2.0)
    machine.skip_idle_time(idle_s)
    return machine, rng, list(jobs)


def _draw_job(rng: random.Random, number: int, submitted_s: float) -> StagedJob:
    steps = [_draw_step(rng, ())]
    if rng.random() < 0.4:
        steps.append(_draw_step(rng, (0,)))
    return make_job(
        number + 1,
        *steps,
        priority=rng.randrange(3),
        customer=rng.choice(("ann", "bob")),
        submitted_s=submitted_s,
    )


def _draw_step(rng: random.Random, depends_on: tuple[int, ...]) -> StepSpec:
    gang = rng.random() < 0.5
    return StepSpec(
        count=rng.randint(1, 5),
        cpu_milli=rng.choice((2800, 9000)),
        memory_mb=4000,
        accelerators=rng.choice((1, 2, 4, 8)),
        estimate_ms=rng.choice((500, 3000)),
        depends_on=depends_on,
        gang=gang,
        same_rack=gang and rng.random() < 0.5,
        checkpoints=rng.random() < 0.5,
        spread_limit=rng.choice((0, 0, 2)),
    )


@pytest.mark.parametrize("seed", range(RESTARTING_SEEDS))
def test_no_promise_breaks_beside_workers_that_restart_under_the_same_names(seed):
    play(seed, restarting=True)


@pytest.mark.parametrize("seed", range(CRASHING_SEEDS))
def test_no_promise_breaks_beside_work_that_crashes_workers(seed):
    play(seed, crashing=True)


@pytest.mark.parametrize("seed", [*range(5), 208, 286, 541])
def test_no_promise_breaks_with_the_users_times_beside_such_work(seed):
    # With seed 208 a job that crashes no worker failed after five workers were lost.
    # Only one of its five starts was executed; that run was lost together with a task
    # that had crashed two workers and that a new owner had not yet seen running. With
    # 286 and 541 tasks that crash workers start too often if such starts do not count.
    play(
        seed,
        crashing=True,
        lease_s=PRODUCTION_LEASE_S,
        cut_off_renewal_s=PRODUCTION_CUT_OFF_RENEWAL_S,
    )


@pytest.mark.parametrize("seed", range(BLOCK_SEEDS))
def test_no_promise_breaks_with_progress_in_blocks(seed, monkeypatch):
    # Owners stop between the appends of the blocks that one decision changed, and in
    # every second play owners write blocks and whole steps in turn.
    monkeypatch.setattr(records, "BLOCK_TASKS", 2)
    blocks = ((True,), (True, False))[seed % 2]
    kind = seed // 2 % 4
    times = (PRODUCTION_LEASE_S, PRODUCTION_CUT_OFF_RENEWAL_S)
    lease_s, renewal_s = times if kind == 3 else (None, PREDECESSOR_S)
    crashing = kind in (1, 3)
    play(
        seed,
        crashing=crashing,
        restarting=kind == 2,
        lease_s=lease_s,
        cut_off_renewal_s=renewal_s,
        blocks=blocks,
    )


def test_plays_with_blocks_write_some_and_stop_between_them(monkeypatch):
    # Without this, the plays above could pass since no step is wide enough.
    monkeypatch.setattr(records, "BLOCK_TASKS", 2)
    machines = [play(seed, blocks=(True, False)) for seed in range(3)]
    assert sum(machine.block_records for machine in machines) >= 60
    assert sum(machine.cut_rounds for machine in machines) >= 5
