"""Check when the tasks of a leaving worker must have ended, and that they have."""

from dataclasses import replace

import pytest

from larkhoist.fleet.departure import (
    Announced,
    Staying,
    Unannounced,
    announce,
    get_last_end_s,
    is_departing,
    update_from_entry,
    update_from_report,
)
from larkhoist.fleet.departure_stops import ORDER_S
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from larkhoist.ports.task_worker import CLOCK_DRIFT, EndKind, RunningTask, WorkerReport
from tests.fleet.cases import make_job, make_machine
from tests.fleet.machine import STEP_S, FleetMachine
from tests.fleet.sim_worker import LEAVE_NOTICE_S, Run, make_listed

LEAVES_S = 100.0
"""When the worker may have left, in the owner's time."""
NOTICE_S = 4.0
ONE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, accelerators=1, estimate_ms=900)


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


def make_saving(estimate_ms: int) -> StepSpec:
    """Return a step of one task that writes checkpoints."""
    return StepSpec(
        count=1,
        cpu_milli=1000,
        memory_mb=100,
        accelerators=1,
        estimate_ms=estimate_ms,
        checkpoints=True,
    )


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


def test_a_sooner_announcement_that_is_read_late_counts_after_earlier_reports():
    departure = read_late(0.0)
    departure = update_from_report(departure, get_clock_ms(96.5, 1.0), 96.5)
    sooner = replace(make_entry(97.0, 1.0), remaining_s=1.0)
    departure = update_from_entry(departure, sooner, 97.7)
    departure = update_from_report(departure, get_clock_ms(97.7, 1.0), 97.7)
    assert departure.serves_until_s == pytest.approx(98.0, abs=0.05)


@pytest.mark.parametrize(
    "departure", [Staying(), Unannounced(5.0), Announced(0, None)], ids=repr
)
def test_there_is_no_last_end_where_the_departure_is_unknown(departure):
    assert get_last_end_s(departure, 0.2) is None
    assert update_from_report(departure, 1000, 6.0) == departure


def leave_with_tasks(count: int) -> FleetMachine:
    """Return a machine whose only worker has just announced that it leaves."""
    job = make_job(1, StepSpec(count=count, cpu_milli=10, memory_mb=1, accelerators=0))
    machine = make_machine(1, (job,), work_s=1000.0)
    machine.submit(job)
    machine.run(1.0)
    assert len(machine.world.history) == count
    machine.world.leave(machine.world.workers["w0"], machine.now_s, 0.0, announced=True)
    machine.run(0.2)
    return machine


def get_next_stop_s(machine: FleetMachine) -> float:
    scheduler = machine.owner.scheduler
    scheduler.decide(machine.now_s, machine.now_ms)
    return scheduler.get_next_due_s(machine.now_s)


@pytest.mark.parametrize("count", [1, 100])
def test_the_last_end_is_sooner_the_more_orders_are_due(count):
    machine = leave_with_tasks(count)
    state = machine.owner.scheduler.state
    until_s = state.workers["w0"].departure.serves_until_s
    margin_s = state.policy.departure_margin_s + count * ORDER_S
    assert get_next_stop_s(machine) == pytest.approx(until_s - margin_s)


def test_a_hundred_orders_advance_the_last_end_by_a_tenth_of_a_second():
    first_stops = []
    for count in (1, 100):
        machine = leave_with_tasks(count)
        state = machine.owner.scheduler.state
        until_s = state.workers["w0"].departure.serves_until_s
        first_stops.append(until_s - get_next_stop_s(machine))
    assert first_stops[1] - first_stops[0] >= 0.09


def test_orders_that_are_due_long_before_or_after_do_not_count():
    job = make_job(1, StepSpec(count=8, cpu_milli=10, memory_mb=1, accelerators=4))
    machine = make_machine(4, (job,), work_s=1000.0)
    machine.submit(job)
    machine.run(1.0)
    scheduler, now_s = machine.owner.scheduler, machine.now_s
    entries = [
        replace(entry, leaving=True, remaining_s=10.0 + 5.0 * number)
        for number, entry in enumerate(machine._list_workers())
    ]
    scheduler.update_workers(entries, now_s)
    margin_s = scheduler.state.policy.departure_margin_s + 2 * ORDER_S
    assert get_next_stop_s(machine) == pytest.approx(now_s + 10.0 - margin_s)


def test_a_stop_that_fell_due_during_a_step_is_due_at_once():
    # The owner computes its pause after the step and after the sleep that follows it.
    machine = leave_with_tasks(1)
    scheduler = machine.owner.scheduler
    last_s = get_next_stop_s(machine)
    for passed_s in (0.001, 0.05, 0.2):
        now_s = last_s + passed_s
        assert scheduler.get_next_due_s(now_s) <= now_s


def test_no_stop_is_due_once_all_are_sent():
    machine = leave_with_tasks(3)
    machine.now_s = get_next_stop_s(machine)
    assert get_next_stop_s(machine) == float("inf")


def test_a_task_runs_until_its_end_can_just_be_heard():
    machine = leave_with_tasks(1)
    (run,) = machine.world.history
    worker = machine.owner.scheduler.state.workers["w0"]
    until_s = worker.departure.serves_until_s
    machine.run(LEAVE_NOTICE_S)
    assert until_s - 0.4 <= run.stop_requested_s <= until_s - 0.1
    assert run.lost


def test_no_stop_is_sent_again_once_the_worker_has_left():
    machine = leave_with_tasks(1)
    machine.run(LEAVE_NOTICE_S + 1.0)
    scheduler = machine.owner.scheduler
    assert scheduler.state.workers["w0"].silent
    assert scheduler.is_busy("w0")
    stops = []
    for _ in range(30):
        machine.now_s += 0.1
        stops += scheduler.decide(machine.now_s, machine.now_ms).stops
    assert stops == []


@pytest.mark.parametrize("listed", [True, False], ids=["listed", "unlisted"])
def test_a_restarted_worker_is_not_taken_as_leaving(listed):
    machine = leave_with_tasks(1)
    worker = machine.owner.scheduler.state.workers["w0"]
    assert worker.leaving
    worker.listed = listed
    worker.begin_incarnation(worker.incarnation.started_ms + 1, machine.now_s)
    assert not worker.leaving
    assert worker.was_leaving
    assert get_last_end_s(worker.departure, 0.2) is None


def test_a_worker_that_is_listed_again_gets_a_full_lease():
    machine = leave_with_tasks(1)
    worker = machine.owner.scheduler.state.workers["w0"]
    worker.departure = Staying()
    worker.note_unlisted(machine.now_s)
    grace_s = machine.owner.scheduler.state.policy.unlisted_grace_s
    assert is_departing(worker.departure, machine.now_s + grace_s + 0.1, grace_s)
    worker.note_listed_again()
    assert not is_departing(worker.departure, machine.now_s + grace_s + 0.1, grace_s)


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


def test_a_task_that_ends_in_time_is_not_stopped():
    machine, run = start_one(work_s=1.9)
    machine.world.leave(run.sim_worker, machine.now_s, 0.0, announced=True)
    machine.run(10.0)
    assert run.kind is EndKind.DONE
    assert run.stop_requested_s is None
    assert len(machine.world.history) == 1


@pytest.mark.parametrize("announced_before", [False, True], ids=["after", "before"])
def test_a_task_that_saves_is_stopped_whichever_owner_hears_of_the_departure(
    announced_before,
):
    # A new owner reads the list of workers before it reads the jobs.
    machine, run = start_one(1000.0, make_saving(60_000))
    if not announced_before:
        machine.replace_owner()
        machine.step()
    machine.world.leave(run.sim_worker, machine.now_s, 10.0, announced=True)
    machine.read_list()
    if announced_before:
        machine.replace_owner()
    machine.run(LEAVE_NOTICE_S / 2)
    assert run.stop_requested_s is not None


def test_a_task_with_a_checkpoint_has_stopped_before_its_last_end():
    machine, run = start_one(1000.0, make_saving(1))
    machine.world.leave(run.sim_worker, machine.now_s, 1.0, announced=True)
    until_s = run.sim_worker.serves_until_s
    machine.run(LEAVE_NOTICE_S)
    margin_s = machine.owner.scheduler.state.policy.departure_margin_s
    assert run.kind is EndKind.STOPPED
    assert run.ended_s <= until_s - margin_s + STEP_S


def test_a_task_with_a_checkpoint_that_is_expected_to_end_in_time_runs_on():
    machine, run = start_one(1000.0, make_saving(1))
    machine.world.leave(run.sim_worker, machine.now_s, 1.0, announced=True)
    policy = machine.owner.scheduler.state.policy
    machine.run(LEAVE_NOTICE_S - policy.stop_s - policy.departure_margin_s - STEP_S)
    assert run.stop_requested_s is None
