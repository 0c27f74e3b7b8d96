"""Check that nothing new starts in a data hall that operators have cordoned.

Cordons were not read at first: 391 tasks started in a cordoned hall on one day.
"""

import pytest
from msgspec.structs import replace

from lab.progress import StallDetector
from larkhoist.jobs.spec import StepSpec
from tests.fleet.cases import make_job, make_machine, put_in_halls
from tests.fleet.checks import check_history, check_outcomes, check_running
from tests.fleet.cordons import CordonCheck, RandomCordons
from tests.fleet.disturbances import FaultInjector
from tests.fleet.machine import FleetMachine
from tests.fleet.progress import find_stalls
from tests.fleet.test_interleavings import create_play

SEEDS = 40
FAULTY_S = 40.0
RECOVERY_S = 150.0
SETTLE_S = 5.0
ONE = StepSpec(count=1, accelerators=1, cpu_milli=1000)
WHOLE = StepSpec(count=4, accelerators=8, cpu_milli=1000)


def list_halls(machine: FleetMachine, job) -> set[str]:
    """Return the halls in which tasks of a job run now."""
    return {
        worker.hall
        for worker in machine.world.workers.values()
        for run in worker.runs.values()
        if run.task.startswith(job.job_id)
    }


def make_halls(count: int, *jobs, work_s: float = 30.0, **kwargs) -> FleetMachine:
    machine = make_machine(count, jobs, work_s=work_s, **kwargs)
    put_in_halls(machine)
    machine.run(1.0)
    return machine


def test_nothing_starts_in_a_cordoned_hall_and_what_runs_there_goes_on():
    first, later = make_job(1, WHOLE), make_job(2, WHOLE)
    machine = make_halls(9, first, later)
    machine.cordoned = frozenset({"h0"})
    machine.submit(first)
    machine.run(1.0)
    assert list_halls(machine, first) == {"h1", "h2"}
    machine.cordoned = frozenset({"h1"})
    machine.submit(later)
    machine.run(1.0)
    assert list_halls(machine, first) == {"h1", "h2"}
    assert list_halls(machine, later) == {"h0", "h2"}


def test_work_waits_for_the_only_hall_and_starts_once_its_cordon_is_lifted():
    job = make_job(1, ONE)
    machine = make_halls(3, job)
    machine.cordoned = frozenset({"h0", "h1", "h2"})
    machine.submit(job)
    machine.run(8.0)
    assert list_halls(machine, job) == set()
    machine.cordoned = frozenset({"h0", "h2"})
    machine.run(1.0)
    assert list_halls(machine, job) == {"h1"}


def test_a_new_owner_keeps_the_cordon():
    job = make_job(1, WHOLE)
    machine = make_halls(6, job)
    machine.cordoned = frozenset({"h2"})
    machine.run(0.5)
    machine.replace_owner()
    machine.submit(job)
    machine.run(2.0)
    assert list_halls(machine, job) == {"h0", "h1"}


def test_a_start_that_waited_for_the_log_is_not_sent_into_a_cordoned_hall():
    job = make_job(1, ONE)
    machine = make_halls(3, job)
    machine.cordoned = frozenset({"h1", "h2"})
    machine.run(0.5)
    machine.submit(job)
    machine.log_down = True
    machine.run(0.5)
    assert not machine.world.history
    machine.cordoned = frozenset({"h0"})
    machine.log_down = False
    machine.run(1.0)
    assert list_halls(machine, job) <= {"h1", "h2"} != set()


def test_room_that_is_kept_for_urgent_work_moves_out_of_a_cordoned_hall():
    # The claim stops work in three halls; one is cordoned before the gang starts.
    with_checkpoints = StepSpec(
        count=9, accelerators=8, cpu_milli=1000, checkpoints=True
    )
    load = make_job(1, with_checkpoints, customer="bob")
    urgent = make_job(
        2, StepSpec(count=3, accelerators=8, cpu_milli=1000, gang=True), priority=0
    )
    machine = make_halls(9, load, urgent, guarantees={"ann": 24})
    machine.submit(load)
    machine.run(1.0)
    machine.submit(urgent)
    machine.run(0.2)
    [phase] = machine.owner.scheduler.state.jobs[urgent.job_id].phases.values()
    hall = machine.world.workers[phase.plan[0]].hall
    machine.cordoned = frozenset({hall})
    machine.run(3.0)
    halls = list_halls(machine, urgent)
    assert halls and hall not in halls


def test_guarantees_are_counted_against_the_halls_that_are_open():
    # Of 64 accelerators in open halls 48 are guaranteed: work without checkpoints,
    # which is expensive to stop, may take two of the three free workers.
    whole = StepSpec(count=5, accelerators=8, cpu_milli=20_000, checkpoints=True)
    load = make_job(1, whole)
    job = make_job(2, replace(whole, checkpoints=False), customer="bob")
    machine = make_halls(12, load, job, guarantees={"bob": 48})
    machine.cordoned = frozenset({"h0"})
    machine.run(0.5)
    machine.submit(load)
    machine.run(1.0)
    machine.submit(job)
    machine.run(1.0)
    started = [r for r in machine.world.history if r.task.startswith(job.job_id)]
    assert len(started) == 2


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_promise_breaks_beside_cordons(seed):
    machine, rng, waiting = create_play(seed)
    random_cordons = RandomCordons(machine, put_in_halls(machine), seed)
    check = CordonCheck(machine)
    injector = FaultInjector(machine, rng, rng.choice((0.0, 5.0, 10.0)))
    until_s = machine.now_s + FAULTY_S
    while machine.now_s < until_s:
        if waiting and rng.random() < 0.1:
            machine.submit(waiting.pop())
        random_cordons.step()
        injector.step()
        machine.step()
        check_running(machine)
        check.look()
    random_cordons.end()
    injector.end()
    for job in waiting:
        machine.submit(job)
    machine.run(SETTLE_S + machine.world.lease_s)
    stills = StallDetector(any_rack=True)
    until_s = machine.now_s + RECOVERY_S
    while machine.now_s < until_s:
        injector.step()
        machine.step()
        find_stalls(machine, stills)
    check_history(machine)
    check_outcomes(machine)
    assert stills.found == {}
