"""Check that an attempt counts as over only if it cannot be running any more.

Each test is a minimal sequence of events for one cause.
"""

import dataclasses

import pytest

from larkhoist.control.worker_clock import WorkerClock
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.task_worker import EndedTask, EndKind, WorkerReport
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history, check_outcomes, check_running

ONE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, accelerators=1, estimate_ms=900)

MIN_CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock."""


def start_one(work_s: float = 5.0, lease_s: float = 6.0, **terms):
    """Return a simulation of two workers, its job and the worker that runs the task."""
    job = make_job(1, ONE, **terms)
    machine = make_machine(2, (job,), work_s=work_s, lease_s=lease_s)
    machine.submit(job)
    machine.run(1)
    (run,) = machine.world.history
    return machine, job, machine.world.workers[run.worker]


# Workers that leave.


def test_a_leaving_worker_may_run_on_while_it_is_off_the_list():
    machine, _, worker = start_one()
    machine.world.leave(worker, machine.now_s, extra_s=6.0, announced=True)
    machine.run(1)
    worker.listed = False
    machine.run(10)
    check_history(machine)
    check_outcomes(machine)


def test_a_leaving_worker_may_come_back_on_the_list():
    machine, _, worker = start_one()
    machine.world.leave(worker, machine.now_s, extra_s=6.0, announced=True)
    machine.run(1)
    worker.listed = False
    machine.run(0.3)
    worker.listed = True
    machine.run(10)
    check_history(machine)
    check_outcomes(machine)


def test_a_worker_that_never_said_that_it_leaves_may_run_on_off_the_list():
    machine, _, worker = start_one()
    machine.world.leave(worker, machine.now_s, extra_s=10.0, announced=False)
    machine.run(10)
    check_history(machine)
    check_outcomes(machine)


def test_a_leaving_worker_may_fail_its_task_for_the_last_time():
    # The end is read in the step in which the entry has disappeared from the list.
    machine, _, worker = start_one(max_attempts=1)
    scheduler, now_s = machine.owner.scheduler, machine.now_s
    (run,) = machine.world.history
    entries = [
        dataclasses.replace(entry, leaving=entry.name == worker.name)
        for entry in machine._list_workers()
    ]
    scheduler.update_workers(entries, now_s)
    scheduler.update_workers([e for e in entries if e.name != worker.name], now_s)
    failed = EndedTask(1, run.task, run.attempt, EndKind.FAILED, "")
    report = WorkerReport(0, (), (failed,))
    scheduler.handle_report(worker.name, report, now_s, now_s, machine.now_ms)
    decided = scheduler.decide(now_s, machine.now_ms)
    assert decided.seen[worker.name].number == 1
    assert not decided.starts


def test_a_start_on_its_way_to_a_leaving_worker_may_act_once_it_is_off_the_list():
    job = make_job(1, ONE)
    machine = make_machine(2, (job,), work_s=5.0, lease_s=6.0)
    machine.run(1)
    machine.order_delay_s["w0"] = 2.0
    machine.submit(job)
    machine.run(0.5)
    worker = machine.world.workers["w0"]
    assert machine.owner.scheduler.is_busy("w0")
    machine.world.leave(worker, machine.now_s, extra_s=6.0, announced=True)
    machine.run(0.2)
    worker.listed = False
    machine.run(10)
    check_history(machine)


# Leases.


@pytest.mark.parametrize(("lease_s", "late_s"), [(6.0, 6.0), (10.0, 12.0)])
def test_a_start_that_acts_late_after_a_long_idle_spell_ends_within_the_bound(
    lease_s, late_s
):
    # During the idle time the estimate has run ahead of a clock that is 2 % slow.
    job = make_job(1, ONE)
    machine = make_machine(2, (job,), work_s=30.0, lease_s=lease_s)
    for worker in machine.world.workers.values():
        worker.rate = MIN_CLOCK_RATE
    machine.run(2)
    machine.skip_idle_time(600)
    machine.order_delay_s["w0"] = late_s
    machine.submit(job)
    machine.run(0.3)
    assert machine.owner.scheduler.is_busy("w0")
    machine.run(25)
    check_history(machine)


@pytest.mark.parametrize("lease_s", [6.0, 10.0])
@pytest.mark.parametrize("idle_s", [0.0, 10.0, 60.0, 600.0])
@pytest.mark.parametrize("late_s", [0.0, 0.3, 2.0, 6.0, 12.0])
def test_the_bound_of_a_lease_covers_slow_clocks_and_late_calls(
    lease_s, idle_s, late_s
):
    clock = WorkerClock(0, 0.0)
    until_s = clock.get_lease_until_ms(idle_s, lease_s) / 1000
    as_sent_s = until_s / MIN_CLOCK_RATE - idle_s
    as_cut_s = late_s + lease_s / MIN_CLOCK_RATE
    longest_s = min(as_sent_s, as_cut_s)
    assert longest_s <= FleetPolicy(lease_s=lease_s).lapse_s


# Owners that take over.


def test_a_successor_stops_a_cancelled_task_on_a_worker_that_is_off_the_list():
    machine, job, worker = start_one(work_s=60.0, lease_s=10.0)
    worker.listed = False
    machine.run(0.5)
    machine.replace_owner()
    machine.cancel(job.job_id)
    for _ in range(150):
        machine.step()
        check_running(machine)


# Where a task may go after it failed.


def test_a_gang_is_tried_where_it_failed_when_its_spread_fits_nowhere_else():
    gang = StepSpec(count=4, accelerators=1, gang=True, spread_limit=2)
    job = make_job(1, gang, max_attempts=3)
    machine = make_machine(
        4, (job,), fails=lambda task, worker: worker in ("w0", "w1", "w2")
    )
    machine.submit(job)
    machine.run(30)
    assert machine.registry.get(job.job_id).outcome is not None, "the gang never ended"


def test_a_worker_that_refuses_a_start_does_not_hold_it_up_while_others_are_free():
    job = make_job(1, ONE)
    machine = make_machine(2, (job,))
    machine.run(1)
    machine.world.workers["w0"].refusing_until_s = machine.now_s + 5
    machine.submit(job)
    machine.run(1)
    assert machine.world.history, "the start was sent to w0 only"
