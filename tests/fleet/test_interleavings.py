"""Keep the promises through any interleaving of faults."""

import random

import pytest

from larkhoist.jobs.spec import StagedJob, StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import (
    check_given_up,
    check_history,
    check_outcomes,
    check_running,
)
from tests.fleet.disturbances import Disturber
from tests.fleet.machine import PREDECESSOR_S, FleetMachine

SEEDS = 100
CRASHING_SEEDS = 50
RESTARTING_SEEDS = 50
CRASHING_SHARE = 0.15
"""How many of the jobs have a task that crashes each worker that starts it."""
FAULTY_S = 40.0
QUIET_S = 150.0
WORK_S = (0.5, 1.5, 4.0, 12.0)
"""How long tasks work; some outlast a lease that is not renewed."""
CLOCK_RATES = (0.98, 0.99, 1.0)
USERS_LEASE_S = 10.0
USERS_PREDECESSOR_S = 8.0


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_promise_breaks_and_every_job_ends(seed):
    play(seed)


def play(
    seed: int,
    *,
    crashing: bool = False,
    restarting: bool = False,
    lease_s: float | None = None,
    predecessor_s: float = PREDECESSOR_S,
) -> FleetMachine:
    """Draw jobs and disturbances and check every promise."""
    machine, chance, waiting = create_play(seed, lease_s, predecessor_s)
    if crashing:
        _draw_crashing(machine, seed, waiting)
    restart_chance = random.Random(f"restarting {seed}") if restarting else None
    often = chance.choice((5.0, 10.0, 30.0))
    disturber = Disturber(machine, chance, often, restart_chance)
    until_s = machine.now_s + FAULTY_S
    while machine.now_s < until_s:
        if waiting and chance.random() < 0.1:
            machine.submit(waiting.pop())
        disturber.step()
        machine.step()
        check_running(machine)
    disturber.end()
    for job in waiting:
        machine.submit(job)
    until_s = machine.now_s + QUIET_S
    while machine.now_s < until_s:
        disturber.step()
        machine.step()
        check_running(machine)
    check_history(machine)
    check_outcomes(machine)
    check_given_up(machine)
    return machine


def _draw_crashing(machine: FleetMachine, seed: int, jobs: list[StagedJob]) -> None:
    """Have a task of some jobs crash its workers, at once or after a while."""
    chance = random.Random(f"crashing {seed}")
    crashing = set()
    for job in jobs:
        if chance.random() < CRASHING_SHARE:
            index = chance.randrange(job.steps[0].count)
            crashing.add(f"{job.job_id}.0.0.{index}")
    machine.world.crashes = crashing.__contains__
    machine.world.crash_after_s = chance.choice((0.0, 0.0, 0.4, 2.0))


def create_play(
    seed: int, lease_s: float | None = None, predecessor_s: float = PREDECESSOR_S
) -> tuple[FleetMachine, random.Random, list[StagedJob]]:
    """Return a machine that has been idle, and the jobs it will get.

    The lease is drawn as well where none is given.
    """
    chance = random.Random(seed)
    idle_s = chance.choice((0.0, 0.0, 20.0, 120.0, 600.0))
    jobs = tuple(_draw_job(chance, number, 102.0 + idle_s) for number in range(12))
    bad = f"w{chance.randrange(6)}" if chance.random() < 0.3 else ""
    hopeless = {jobs[3].job_id} if chance.random() < 0.5 else set()
    work_s, drawn_lease_s = chance.choice(WORK_S), chance.choice((6.0, 10.0))
    machine = make_machine(
        6,
        jobs,
        {"ann": 16, "bob": 8},
        seed,
        work_s,
        lambda task, worker: worker == bad or task.split(".")[0] in hopeless,
        drawn_lease_s if lease_s is None else lease_s,
        predecessor_s,
    )
    for worker in machine.world.workers.values():
        worker.rate = chance.choice(CLOCK_RATES)
    machine.run(2.0)
    machine.skip_idle_time(idle_s)
    return machine, chance, list(jobs)


def _draw_job(chance: random.Random, number: int, submitted_s: float) -> StagedJob:
    steps = [_draw_step(chance, ())]
    if chance.random() < 0.4:
        steps.append(_draw_step(chance, (0,)))
    return make_job(
        number + 1,
        *steps,
        priority=chance.randrange(3),
        customer=chance.choice(("ann", "bob")),
        submitted_s=submitted_s,
    )


def _draw_step(chance: random.Random, depends_on: tuple[int, ...]) -> StepSpec:
    gang = chance.random() < 0.5
    return StepSpec(
        count=chance.randint(1, 5),
        cpu_milli=chance.choice((2800, 9000)),
        memory_mb=4000,
        accelerators=chance.choice((1, 2, 4, 8)),
        estimate_ms=chance.choice((500, 3000)),
        depends_on=depends_on,
        gang=gang,
        same_rack=gang and chance.random() < 0.5,
        checkpoints=chance.random() < 0.5,
        spread_limit=chance.choice((0, 0, 2)),
    )


@pytest.mark.parametrize("seed", range(RESTARTING_SEEDS))
def test_no_promise_breaks_beside_workers_that_restart_under_the_same_names(seed):
    play(seed, restarting=True)


@pytest.mark.parametrize("seed", range(CRASHING_SEEDS))
def test_no_promise_breaks_beside_work_that_crashes_workers(seed):
    play(seed, crashing=True)


@pytest.mark.parametrize("seed", [*range(5), 208, 286, 541])
def test_no_promise_breaks_with_the_users_times_beside_such_work(seed):
    # Of seed 208 a job that crashes nothing is failed for five lost workers. One start
    # of its task was carried out there and four were not; that one was lost beside a
    # task with two crashes, which a new owner had not seen running yet. In 286 and 541
    # work that crashes workers begins too often, if such starts are left uncounted.
    play(
        seed,
        crashing=True,
        lease_s=USERS_LEASE_S,
        predecessor_s=USERS_PREDECESSOR_S,
    )
