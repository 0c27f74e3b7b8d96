"""Check when the tasks of a leaving worker must have ended, and that they have."""

from dataclasses import replace

import pytest

from larkhoist.fleet.departure import (
    Announced,
    Staying,
    Unannounced,
    announce,
    get_last_end_s,
    update_from_entry,
    update_from_report,
)
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from larkhoist.ports.task_worker import CLOCK_DRIFT, RunningTask, WorkerReport
from tests.fleet.cases import make_job, make_machine
from tests.fleet.machine import FleetMachine
from tests.fleet.sim_worker import LEAVE_NOTICE_S, Run, make_listed

LEAVES_S = 100.0
"""When the worker may have left, in the owner's time."""
NOTICE_S = 4.0
ONE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, accelerators=1, estimate_ms=900)
LONG_SAVING = StepSpec(
    count=1,
    cpu_milli=1000,
    memory_mb=100,
    accelerators=1,
    estimate_ms=60_000,
    checkpoints=True,
)


def make_entry(written_s: float, rate: float) -> ListedTaskWorker:
    """Return the entry of a worker that leaves, as written at ``written_s``."""
    return ListedTaskWorker(
        "w0",
        "service",
        "address",
        "hall",
        "rack",
        frozenset(),
        Resources(),
        True,
        LEAVES_S - written_s,
        get_clock_ms(written_s, rate),
    )


def get_clock_ms(at_s: float, rate: float) -> int:
    return 7_000_000 + int(1000 * rate * at_s)


def read_late(read_after_s: float, rate: float = 1.0) -> Announced:
    """Return the departure by an entry that was read long after it was written."""
    written_s = LEAVES_S - NOTICE_S
    return announce(make_entry(written_s, rate), written_s + read_after_s)


@pytest.mark.parametrize("read_after_s", [0.0, 0.7, 2.5])
@pytest.mark.parametrize("rate", [1.0, 1.0 - CLOCK_DRIFT])
@pytest.mark.parametrize("answer_s", [0.0, 0.01, 0.3])
def test_a_late_read_of_the_entry_does_not_move_the_departure(
    read_after_s, rate, answer_s
):
    departure = read_late(read_after_s, rate)
    assert departure.serves_until_s == pytest.approx(LEAVES_S + read_after_s)
    asked_s = LEAVES_S - NOTICE_S + read_after_s
    clock_ms = get_clock_ms(asked_s + answer_s, rate)
    departure = update_from_report(departure, clock_ms, asked_s)
    longest_error_s = answer_s + 2 * CLOCK_DRIFT * NOTICE_S + 0.001
    assert departure.serves_until_s <= LEAVES_S + 0.001
    assert departure.serves_until_s >= LEAVES_S - longest_error_s


def test_the_report_with_the_shortest_call_tells_the_departure():
    departure = read_late(0.5)
    for asked_s, answered_s in ((97.0, 98.0), (98.0, 98.002), (98.1, 99.0)):
        clock_ms = get_clock_ms(answered_s, 1.0)
        departure = update_from_report(departure, clock_ms, asked_s)
    assert departure.serves_until_s == pytest.approx(LEAVES_S, abs=0.05)


def test_a_clock_that_stands_does_not_move_the_departure():
    departure = read_late(0.0)
    for asked_s in (97.0, 98.0, 99.0):
        departure = update_from_report(departure, 7_000_000, asked_s)
    assert departure.serves_until_s <= LEAVES_S


def test_a_worker_may_have_to_leave_sooner_than_it_announced_first():
    departure = read_late(0.0)
    sooner = replace(make_entry(97.0, 1.0), remaining_s=1.0)
    departure = update_from_entry(departure, sooner, 97.1)
    assert departure.serves_until_s == pytest.approx(98.1)
    departure = update_from_report(departure, get_clock_ms(97.2, 1.0), 97.2)
    assert departure.serves_until_s == pytest.approx(98.0, abs=0.01)


@pytest.mark.parametrize(
    "departure", [Staying(), Unannounced(5.0), Announced(0, None)], ids=repr
)
def test_there_is_no_last_end_where_the_departure_is_unknown(departure):
    assert get_last_end_s(departure, 0.2) is None
    assert update_from_report(departure, 1000, 6.0) == departure


def start_one(work_s: float, spec: StepSpec = ONE) -> tuple[FleetMachine, Run]:
    """Return a machine with two workers and its only run."""
    job = make_job(1, spec)
    machine = make_machine(2, (job,), work_s=work_s)
    machine.calls_wait = True
    machine.submit(job)
    machine.run(1.0)
    (run,) = machine.world.history
    return machine, run


def test_an_owner_that_takes_over_late_learns_the_time_from_the_first_report():
    machine, run = start_one(work_s=1000.0)
    machine.world.leave(run.sim_worker, machine.now_s, 0.0, announced=True)
    leaves_s = run.sim_worker.ends_s
    old = [make_listed(run.sim_worker, machine.now_s)]
    machine.run(1.0)
    machine.replace_owner()
    scheduler, asked_s = machine.owner.scheduler, machine.now_s
    scheduler.update_workers(old, asked_s)
    running = RunningTask(run.task, run.attempt, "", 100)
    clock_ms = run.sim_worker.get_clock_ms(asked_s)
    report = WorkerReport(
        clock_ms, (running,), (), started_ms=run.sim_worker.started_ms
    )
    scheduler.handle_report(run.worker, report, asked_s, asked_s, machine.now_ms)
    departure = scheduler.state.workers[run.worker].departure
    assert leaves_s - 0.2 <= departure.serves_until_s <= leaves_s + 0.001


@pytest.mark.parametrize("announced_before", [False, True], ids=["after", "before"])
def test_a_task_that_saves_is_stopped_whichever_owner_hears_of_the_departure(
    announced_before,
):
    # A new owner reads the list of workers before it reads the jobs.
    machine, run = start_one(1000.0, LONG_SAVING)
    if not announced_before:
        machine.replace_owner()
        machine.step()
    machine.world.leave(run.sim_worker, machine.now_s, 10.0, announced=True)
    machine.read_list()
    if announced_before:
        machine.replace_owner()
    machine.run(LEAVE_NOTICE_S / 2)
    assert run.stop_requested_s is not None
