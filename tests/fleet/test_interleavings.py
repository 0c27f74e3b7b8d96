"""Keep the promises through any interleaving of faults."""

import random

import pytest

from larkhoist.jobs.spec import StagedJob, StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history, check_outcomes
from tests.fleet.machine import FleetMachine

SEEDS = 100
FAULTY_S = 40.0
QUIET_S = 90.0


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_promise_breaks_and_every_job_ends(seed):
    chance = random.Random(seed)
    jobs = tuple(_draw_job(chance, number) for number in range(12))
    bad = f"w{chance.randrange(6)}" if chance.random() < 0.3 else ""
    hopeless = {jobs[3].job_id} if chance.random() < 0.5 else set()
    machine = make_machine(
        6,
        jobs,
        {"ann": 16, "bob": 8},
        seed,
        chance.choice((0.5, 1.5, 4.0)),
        lambda task, worker: worker == bad or task.split(".")[0] in hopeless,
    )
    waiting = list(jobs)
    while machine.now_s < 100 + FAULTY_S:
        if waiting and chance.random() < 0.1:
            machine.submit(waiting.pop())
        _disturb(machine, chance)
        machine.step()
    _end_disturbances(machine)
    for job in waiting:
        machine.submit(job)
    machine.run(QUIET_S)
    check_history(machine)
    check_outcomes(machine)


def _draw_job(chance: random.Random, number: int) -> StagedJob:
    steps = [_draw_step(chance, ())]
    if chance.random() < 0.4:
        steps.append(_draw_step(chance, (0,)))
    return make_job(
        number + 1,
        *steps,
        priority=chance.randrange(3),
        customer=chance.choice(("ann", "bob")),
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


def _disturb(machine: FleetMachine, chance: random.Random) -> None:
    name = chance.choice(list(machine.world.workers))
    worker = machine.world.workers[name]
    match chance.randrange(200):
        case 0 | 1:
            machine.replace_owner()
        case 2 | 3:
            machine.cut.add(name)
        case 4 | 5 | 6:
            machine.cut.clear()
        case 7:
            machine.lose_answers = chance.choice((0.0, 0.1, 0.5))
        case 8:
            machine.log_down = not machine.log_down
        case 9:
            worker.listed = not worker.listed
        case 10 if chance.random() < 0.3:
            machine.world.kill(worker, machine.now_s)
            worker.listed = False
        case 11 if machine.book.entries and chance.random() < 0.5:
            machine.cancel(chance.choice(list(machine.book.entries)))


def _end_disturbances(machine: FleetMachine) -> None:
    machine.cut.clear()
    machine.lose_answers = 0.0
    machine.log_down = False
    for worker in machine.world.workers.values():
        if worker.dead:
            worker.dead = False
            worker.floors = {}
            worker.token = 0
            worker.ends = []
            worker.number = 0
        worker.listed = True
    machine.replace_owner()
