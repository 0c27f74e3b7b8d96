"""Test that work goes on after workers leave for good without replacement.

Steps may have more tasks than their spread limit allows at once on the workers that
stay, and may ask for racks, labels and the rack of their data. Some tasks are
long-running. The capacity of the workers that stay decides whether a job can end.
"""

import math
import random
from dataclasses import dataclass, field

import pytest

from lab.progress import StallDetector
from larkhoist.jobs.spec import StagedJob, StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import (
    check_given_up,
    check_history,
    check_outcomes,
    check_running,
)
from tests.fleet.disturbances import FaultInjector
from tests.fleet.machine import FleetMachine
from tests.fleet.progress import CalmPeriodCheck, find_stalls
from tests.fleet.sim_worker import SimWorker
from tests.fleet.test_interleavings import (
    PRODUCTION_CUT_OFF_RENEWAL_S,
    PRODUCTION_LEASE_S,
    WORK_S,
)

SEEDS = (*range(12), 21, 22, 39, 81)
"""Twelve arbitrary seeds, and four that each showed a different kind of stall."""
JOBS = 12
LONG_RUNNING_SHARE = 0.15
LONG_RUNNING_WORK_S = (5.0, 20.0, 1000.0)
"""How long a long-running task works until it fails."""
CRASHED_SHARE = 0.3
"""Share of the departing workers that crash instead of running on for a while."""
DEPARTING_SHARES = (0.2, 0.5, 0.7, 0.85)
"""Share of the workers that leave for good."""
DISTURBED_S = 30.0
SETTLE_S = 20.0
"""Time after the last departure: longer than a lease, a take-over, and the time that
leaving workers run on."""
OBSERVED_S = 40.0
END_MARGIN_S = 30.0
WAVE_MARGIN_S = 3.0
"""Time that a wave of tasks may take beyond the work of one task."""
CLOSING_S = 5.0


@dataclass(slots=True)
class DepartureSimulation:
    """Hold a random simulation and its state.

    ``departures`` holds when the worker at an address leaves for good, by time.
    """

    machine: FleetMachine
    rng: random.Random
    unsubmitted: list[StagedJob]
    work_s: float
    departures: list[tuple[float, str]]
    injector: FaultInjector
    stills: StallDetector = field(default_factory=lambda: StallDetector(any_rack=True))
    stable_check: CalmPeriodCheck = field(default_factory=CalmPeriodCheck)

    def run(self, until_s: float, *, settled: bool = False) -> None:
        """Submit jobs and remove workers; if ``settled``, look for stalls as well."""
        machine = self.machine
        while machine.now_s < until_s:
            if self.unsubmitted and self.rng.random() < 0.03:
                machine.submit(self.unsubmitted.pop())
            while self.departures and self.departures[0][0] <= machine.now_s:
                _, address = self.departures.pop(0)
                crashes = self.rng.random() < CRASHED_SHARE
                self.injector.remove_address(address, crashes=crashes)
            self.injector.step()
            machine.step()
            check_running(machine)
            if settled:
                find_stalls(machine, self.stills)
                self.stable_check.look(machine)


@pytest.mark.parametrize("often", [0.0, 10.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_stands_still_where_workers_left_for_good(seed, often):
    simulation = simulate(seed, often)
    assert simulation.stills.found == {}
    assert simulation.stable_check.stills.found == {}


@pytest.mark.parametrize("often", [0.0, 10.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_breaks_where_workers_left_for_good(seed, often):
    simulation = simulate(seed, often)
    check_history(simulation.machine)
    check_given_up(simulation.machine)
    check_ends(simulation)


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
    assert can_end(job, list_staying_workers(machine)) == ends
    assert has_unfinished_jobs(machine) != ends


def simulate(seed: int, often: float) -> DepartureSimulation:
    """Run a random simulation with a disturbance in ``often`` percent of its steps."""
    simulation = create_simulation(seed, often)
    machine = simulation.machine
    simulation.run(machine.now_s + DISTURBED_S)
    simulation.injector.end()
    simulation.run(machine.now_s + SETTLE_S)
    simulation.run(machine.now_s + OBSERVED_S, settled=True)
    return simulation


def check_ends(simulation: DepartureSimulation) -> None:
    """Check that all jobs that can end do so in the time they take in sequence."""
    machine = simulation.machine
    while simulation.unsubmitted:
        machine.submit(simulation.unsubmitted.pop())
    staying = list_staying_workers(machine)
    until_s = machine.now_s + END_MARGIN_S
    for job in machine.jobs.values():
        if any(spec.long_running for spec in job.steps) or not can_end(job, staying):
            machine.cancel(job.job_id)
        else:
            until_s += count_waves(job, staying) * (simulation.work_s + WAVE_MARGIN_S)
    while machine.now_s < until_s and has_unfinished_jobs(machine):
        simulation.run(machine.now_s + 1.0)
    machine.run(CLOSING_S)
    check_outcomes(machine)


def has_unfinished_jobs(machine: FleetMachine) -> bool:
    return any(entry.outcome is None for entry in machine.registry.entries.values())


def list_staying_workers(machine: FleetMachine) -> list[SimWorker]:
    """Return the workers that are up, listed and do not leave."""
    workers = machine.world.workers.values()
    return [w for w in workers if not w.dead and w.listed and w.ends_s == float("inf")]


def can_end(job: StagedJob, staying: list[SimWorker]) -> bool:
    """Tell whether empty workers could run each step, and each gang as a whole."""
    return all(
        count_places(spec, staying) >= (spec.count if spec.gang else 1)
        for spec in job.steps
    )


def count_waves(job: StagedJob, staying: list[SimWorker]) -> int:
    """Return how many waves of tasks a job takes on empty workers."""
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


def create_simulation(seed: int, often: float) -> DepartureSimulation:
    """Return a simulation that is ready to run.

    A seed draws the same jobs and departures for any ``often``.
    """
    rng = random.Random(f"departures {seed}")
    count = rng.randint(6, 14)
    racks = [f"r{number}" for number in range((count + 3) // 4)]
    jobs = tuple(_draw_job(rng, number, racks) for number in range(JOBS))
    long_running_jobs = {job.job_id for job in jobs if job.steps[0].long_running}
    work_s, long_running_work_s = rng.choice(WORK_S), rng.choice(LONG_RUNNING_WORK_S)
    machine = make_machine(
        count,
        jobs,
        {"ann": 2 * count, "bob": count},
        seed,
        fails=lambda task, worker: task.split(".")[0] in long_running_jobs,
        lease_s=PRODUCTION_LEASE_S,
        cut_off_renewal_s=PRODUCTION_CUT_OFF_RENEWAL_S,
    )
    machine.world.work_s_of = lambda task: (
        long_running_work_s if task.split(".")[0] in long_running_jobs else work_s
    )
    departing_count = min(
        count - 1, max(1, round(count * rng.choice(DEPARTING_SHARES)))
    )
    leaving = rng.sample(range(count), departing_count)
    departures = sorted(
        (machine.now_s + rng.uniform(0.0, DISTURBED_S), f"w{number}")
        for number in leaving
    )
    injector = FaultInjector(machine, random.Random(f"disturbed {seed}"), often)
    machine.run(2.0)
    return DepartureSimulation(machine, rng, list(jobs), work_s, departures, injector)


def _draw_job(rng: random.Random, number: int, racks: list[str]) -> StagedJob:
    is_long_running = rng.random() < LONG_RUNNING_SHARE
    steps = [_draw_step(rng, racks, (), is_long_running=is_long_running)]
    if not is_long_running and rng.random() < 0.3:
        steps.append(_draw_step(rng, racks, (0,), is_long_running=False))
    return make_job(
        number + 1,
        *steps,
        priority=rng.randrange(3),
        customer=rng.choice(("ann", "bob")),
        submitted_s=102.0,
    )


def _draw_step(
    rng: random.Random,
    racks: list[str],
    depends_on: tuple[int, ...],
    *,
    is_long_running: bool,
) -> StepSpec:
    gang = not is_long_running and rng.random() < 0.35
    return StepSpec(
        count=rng.randint(1, 4 if is_long_running else 14),
        cpu_milli=rng.choice((1000, 2800, 9000)),
        memory_mb=rng.choice((1000, 4000)),
        accelerators=rng.choice((1, 1, 2, 4)),
        estimate_ms=rng.choice((500, 3000)),
        depends_on=depends_on,
        gang=gang,
        same_rack=gang and rng.random() < 0.5,
        data_rack=rng.choice(("", "", "", *racks)),
        label=rng.choice(("", "", "", "a", racks[0], racks[-1])),
        checkpoints=rng.random() < 0.5,
        spread_limit=rng.choice((0, 1, 1, 2, 3)),
        long_running=is_long_running,
    )
