"""Have work go on where workers leave for good and none replaces them.

Steps may be wider than their spread limit allows on the workers that stay, and ask for
racks, labels and the rack of their data; some tasks last. Whether a job can end at all
is told by the capacity of the workers that stay.
"""

import math
import random
from dataclasses import dataclass, field

import pytest

from lab.progress import StandStills
from larkhoist.jobs.spec import StagedJob, StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import (
    check_given_up,
    check_history,
    check_outcomes,
    check_running,
)
from tests.fleet.disturbances import Disturber
from tests.fleet.machine import FleetMachine
from tests.fleet.progress import CalmLook, look_for_stand_stills
from tests.fleet.sim_worker import SimWorker
from tests.fleet.test_interleavings import (
    USERS_LEASE_S,
    USERS_PREDECESSOR_S,
    WORK_S,
)

SEEDS = (*range(12), 21, 22, 39, 81)
"""Some drawn plays, and those that stood still in one way each."""
JOBS = 12
LASTING_SHARE = 0.15
LASTS_S = (5.0, 20.0, 1000.0)
"""How long lasting tasks work until they fail."""
CRASHED_SHARE = 0.3
"""Share of the workers that end without serving on."""
LEFT_SHARES = (0.2, 0.5, 0.7, 0.85)
"""Share of the workers that leave for good."""
FAULTY_S = 30.0
SETTLE_S = 20.0
"""After the last departure: longer than a lease, a take-over and what serves on."""
LOOKED_S = 40.0
QUIET_S = 30.0
WAVE_S = 3.0
"""How much longer than its tasks work a wave may take."""
CLOSING_S = 5.0


@dataclass(slots=True)
class Departures:
    """Hold a drawn play, and when which of its places are given up."""

    machine: FleetMachine
    chance: random.Random
    waiting: list[StagedJob]
    work_s: float
    due_s: list[tuple[float, str]]
    disturber: Disturber
    stills: StandStills = field(default_factory=lambda: StandStills(any_rack=True))
    calm: CalmLook = field(default_factory=CalmLook)

    def run(self, until_s: float, *, settled: bool = False) -> None:
        """Let time pass, with jobs that come; look once all has settled."""
        machine = self.machine
        while machine.now_s < until_s:
            if self.waiting and self.chance.random() < 0.03:
                machine.submit(self.waiting.pop())
            while self.due_s and self.due_s[0][0] <= machine.now_s:
                _, address = self.due_s.pop(0)
                crashes = self.chance.random() < CRASHED_SHARE
                self.disturber.remove_place(address, crashes=crashes)
            self.disturber.step()
            machine.step()
            check_running(machine)
            if settled:
                look_for_stand_stills(machine, self.stills)
                self.calm.look(machine)


@pytest.mark.parametrize("often", [0.0, 10.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_stands_still_where_workers_left_for_good(seed, often):
    played = play(seed, often)
    assert played.stills.found == {}
    assert played.calm.stills.found == {}


@pytest.mark.parametrize("often", [0.0, 10.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_breaks_where_workers_left_for_good(seed, often):
    played = play(seed, often)
    check_history(played.machine)
    check_given_up(played.machine)
    check_ends(played)


@pytest.mark.parametrize(
    ("spec", "ends"),
    [
        (StepSpec(count=4, accelerators=4, gang=True), True),
        (StepSpec(count=5, accelerators=4, gang=True), False),
        (StepSpec(count=5, accelerators=4), True),
        (StepSpec(count=2, accelerators=1, gang=True, spread_limit=1), True),
        (StepSpec(count=3, accelerators=1, gang=True, spread_limit=1), False),
        (StepSpec(count=3, accelerators=1, spread_limit=1), True),
        (StepSpec(count=1, accelerators=1, label="r0"), True),
        (StepSpec(count=1, accelerators=1, label="r9"), False),
    ],
)
def test_the_capacity_of_workers_that_stay_tells_what_ends(spec, ends):
    job = make_job(1, spec)
    machine = make_machine(2, (job,))
    machine.submit(job)
    machine.run(20.0)
    assert can_end(job, list_staying(machine)) == ends
    assert has_open(machine) != ends


def play(seed: int, often: float) -> Departures:
    """Draw jobs, departures and, in ``often`` of a hundred steps, disturbances."""
    played = draw_play(seed, often)
    machine = played.machine
    played.run(machine.now_s + FAULTY_S)
    played.disturber.end()
    played.run(machine.now_s + SETTLE_S)
    played.run(machine.now_s + LOOKED_S, settled=True)
    return played


def check_ends(played: Departures) -> None:
    """Check that all jobs end that can, in as long as they take one after another."""
    machine = played.machine
    while played.waiting:
        machine.submit(played.waiting.pop())
    staying = list_staying(machine)
    until_s = machine.now_s + QUIET_S
    for job in machine.jobs.values():
        if any(spec.long_running for spec in job.steps) or not can_end(job, staying):
            machine.cancel(job.job_id)
        else:
            until_s += count_waves(job, staying) * (played.work_s + WAVE_S)
    while machine.now_s < until_s and has_open(machine):
        played.run(machine.now_s + 1.0)
    machine.run(CLOSING_S)
    check_outcomes(machine)


def has_open(machine: FleetMachine) -> bool:
    return any(entry.outcome is None for entry in machine.book.entries.values())


def list_staying(machine: FleetMachine) -> list[SimWorker]:
    """Return the workers that are up, listed and do not leave."""
    workers = machine.world.workers.values()
    return [w for w in workers if not w.dead and w.listed and w.ends_s == float("inf")]


def can_end(job: StagedJob, staying: list[SimWorker]) -> bool:
    """Tell whether empty workers could run each step, a gang at once."""
    return all(
        count_places(spec, staying) >= (spec.count if spec.gang else 1)
        for spec in job.steps
    )


def count_waves(job: StagedJob, staying: list[SimWorker]) -> int:
    """Return how many times a job's tasks take turns on workers that are empty."""
    return sum(
        math.ceil(spec.count / count_places(spec, staying)) for spec in job.steps
    )


def count_places(spec: StepSpec, staying: list[SimWorker]) -> int:
    """Return how many tasks of a step empty workers could run at a time."""
    places = 0
    for worker in staying:
        if spec.label and spec.label not in ("a", worker.rack):
            continue
        fitting = worker.capacity.count_fitting(spec.need)
        places += min(fitting, spec.spread_limit) if spec.spread_limit else fitting
    return places


def draw_play(seed: int, often: float) -> Departures:
    """Return a play that has not begun; its seed means the same for any ``often``."""
    chance = random.Random(f"departures {seed}")
    count = chance.randint(6, 14)
    racks = [f"r{number}" for number in range((count + 3) // 4)]
    jobs = tuple(_draw_job(chance, number, racks) for number in range(JOBS))
    lasting = {job.job_id for job in jobs if job.steps[0].long_running}
    work_s, lasts_s = chance.choice(WORK_S), chance.choice(LASTS_S)
    machine = make_machine(
        count,
        jobs,
        {"ann": 2 * count, "bob": count},
        seed,
        fails=lambda task, worker: task.split(".")[0] in lasting,
        lease_s=USERS_LEASE_S,
        predecessor_s=USERS_PREDECESSOR_S,
    )
    machine.world.work_s_of = lambda task: (
        lasts_s if task.split(".")[0] in lasting else work_s
    )
    left = min(count - 1, max(1, round(count * chance.choice(LEFT_SHARES))))
    leaving = chance.sample(range(count), left)
    due_s = sorted(
        (machine.now_s + chance.uniform(0.0, FAULTY_S), f"w{number}")
        for number in leaving
    )
    disturber = Disturber(machine, random.Random(f"disturbed {seed}"), often)
    machine.run(2.0)
    return Departures(machine, chance, list(jobs), work_s, due_s, disturber)


def _draw_job(chance: random.Random, number: int, racks: list[str]) -> StagedJob:
    lasts = chance.random() < LASTING_SHARE
    steps = [_draw_step(chance, racks, (), lasts=lasts)]
    if not lasts and chance.random() < 0.3:
        steps.append(_draw_step(chance, racks, (0,), lasts=False))
    return make_job(
        number + 1,
        *steps,
        priority=chance.randrange(3),
        customer=chance.choice(("ann", "bob")),
        submitted_s=102.0,
    )


def _draw_step(
    chance: random.Random, racks: list[str], depends_on: tuple[int, ...], *, lasts: bool
) -> StepSpec:
    gang = not lasts and chance.random() < 0.35
    return StepSpec(
        count=chance.randint(1, 4 if lasts else 14),
        cpu_milli=chance.choice((1000, 2800, 9000)),
        memory_mb=chance.choice((1000, 4000)),
        accelerators=chance.choice((1, 1, 2, 4)),
        estimate_ms=chance.choice((500, 3000)),
        depends_on=depends_on,
        gang=gang,
        same_rack=gang and chance.random() < 0.5,
        data_rack=chance.choice(("", "", "", *racks)),
        label=chance.choice(("", "", "", "a", racks[0], racks[-1])),
        checkpoints=chance.random() < 0.5,
        spread_limit=chance.choice((0, 1, 1, 2, 3)),
        long_running=lasts,
    )
