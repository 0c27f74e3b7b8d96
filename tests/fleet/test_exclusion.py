"""Test the reasons given for excluded workers and for steps that do not start."""

import pytest

from larkhoist.fleet.exclusion import find_exclusion
from larkhoist.jobs.spec import StepSpec
from tests.fleet.cases import make_job, make_machine, put_in_halls
from tests.fleet.disturbances import FaultInjector
from tests.fleet.machine import FleetMachine
from tests.fleet.test_interleavings import create_play


@pytest.mark.parametrize("seed", range(10))
def test_a_worker_has_a_reason_if_and_only_if_it_is_not_usable(seed):
    machine, rng, unsubmitted = create_play(seed)
    put_in_halls(machine)
    injector = FaultInjector(machine, rng, 20.0)
    reasons = set()
    for _ in range(300):
        if unsubmitted and rng.random() < 0.1:
            machine.submit(unsubmitted.pop())
        injector.step()
        machine.step()
        state = machine.owner.scheduler.state
        for worker in state.workers.values():
            reason = find_exclusion(state, worker, machine.now_s)
            reasons.add(reason)
            assert (reason is None) is state.is_usable(worker, machine.now_s)
    assert len(reasons) > 2


def test_a_step_that_stands_says_which_workers_are_excluded_and_why():
    job = make_job(1, StepSpec(count=2, accelerators=8))
    machine = make_machine(2, (job,), work_s=60.0)
    machine.run(1.0)
    machine.world.leave(
        machine.world.workers["w1"], machine.now_s, 60.0, announced=True
    )
    machine.run(1.0)
    machine.submit(job)
    machine.run(5.0)
    wait_fields = find_wait_fields(machine)
    assert wait_fields["excluded"] == "leaving:1"
    assert wait_fields["on_workers"] == 1
    assert wait_fields["service_used"] == "0.000/0.000/0.500"


def test_a_gang_that_stands_says_how_much_room_one_rack_has():
    spread = StepSpec(count=3, accelerators=8, spread_limit=1)
    gang = StepSpec(count=2, accelerators=8, gang=True, same_rack=True)
    load, job = make_job(1, spread), make_job(2, gang)
    machine = make_machine(5, (load, job), work_s=60.0)
    machine.submit(load)
    machine.run(1.0)
    machine.submit(job)
    machine.run(5.0)
    wait_fields = find_wait_fields(machine)
    assert wait_fields["room_for"] == 2
    assert wait_fields["rack_room_for"] == 1


def find_wait_fields(machine: FleetMachine) -> dict[str, object]:
    found = [noted.note for noted in machine.notes if noted.note.event == "stands"]
    return dict(found[0].fields)
