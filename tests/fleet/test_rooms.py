"""Test that no task is started beyond a worker's current capacity.

A worker's capacity may change while it runs, and its list entry shows the change.
Guards against an owner that uses the capacity it read first: a worker without its own
check gets more tasks than fit, and one with a check refuses start after start.
"""

import pytest

from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import Resources
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history
from tests.fleet.machine import FleetMachine

FULL_CAPACITY = Resources(32_000, 64_000, 8)
QUARTER_CAPACITY = Resources(8_000, 16_000, 2)
EIGHT_TASKS = StepSpec(count=8, cpu_milli=1000, accelerators=1, estimate_ms=900)


def set_capacity(machine: FleetMachine, name: str, room: Resources) -> None:
    machine.world.workers[name].capacity = room


def count_running(machine: FleetMachine, name: str = "w0") -> int:
    return len(machine.world.workers[name].runs)


def count_refused(machine: FleetMachine) -> int:
    return sum(noted.note.event == "start-refused" for noted in machine.notes)


def test_a_room_that_shrank_takes_no_more_than_fits_until_it_grows():
    job = make_job(1, EIGHT_TASKS)
    machine = make_machine(1, (job,), work_s=6.0)
    machine.run(1)
    set_capacity(machine, "w0", QUARTER_CAPACITY)
    machine.run(1)
    machine.submit(job)
    machine.run(3)
    assert count_running(machine) == 2
    assert count_refused(machine) == 0
    set_capacity(machine, "w0", FULL_CAPACITY)
    machine.run(1)
    assert count_running(machine) == 8
    check_history(machine)


def test_what_is_being_stopped_counts_against_a_room_that_shrank():
    borrowed = make_job(1, make_step(count=8, checkpoints=True))
    urgent = make_job(2, StepSpec(count=1, accelerators=2, estimate_ms=900), priority=0)
    machine = make_machine(1, (borrowed, urgent), {"ann": 8}, work_s=20.0)
    machine.submit(borrowed)
    machine.run(1)
    assert count_running(machine) == 8
    set_capacity(machine, "w0", QUARTER_CAPACITY)
    machine.run(0.5)
    machine.submit(urgent)
    for _ in range(40):
        machine.step()
        used = sum(
            run.need.accelerators
            for run in machine.world.workers["w0"].runs.values()
            if run.task.startswith(urgent.job_id)
        )
        others = count_running(machine) - bool(used)
        assert not used or others == 0
    assert used == 2
    assert count_refused(machine) == 0


@pytest.mark.parametrize("room", [Resources(), QUARTER_CAPACITY])
def test_a_plan_on_a_worker_that_can_never_hold_it_any_more_is_dropped(room):
    borrowed = make_job(1, make_step(count=16, checkpoints=True))
    urgent = make_job(2, StepSpec(count=1, accelerators=8, estimate_ms=900), priority=0)
    machine = make_machine(2, (borrowed, urgent), {"ann": 8}, work_s=20.0)
    machine.submit(borrowed)
    machine.run(1)
    machine.submit(urgent)
    machine.step()
    (planned,) = {
        name
        for _, phase in machine.owner.scheduler.state.iter_phases()
        for name in phase.plan.values()
    }
    set_capacity(machine, planned, room)
    machine.run(5)
    begun = [r for r in machine.world.history if r.task.startswith(urgent.job_id)]
    assert [run.worker for run in begun] != [planned]
    assert begun


def make_step(count: int, *, checkpoints: bool) -> StepSpec:
    return StepSpec(count=count, accelerators=1, checkpoints=checkpoints)
