"""Check that an answer limits the lease which a new owner assumes on a worker.

A worker crashed permanently half a second after a take-over. Its tasks counted as
running until 4.06 s, although the lease of 2 s ended at 2.4 s. With leases of 10 s they
counted as running for 18.1 s, until 18.6 s after the take-over:

    worker-idle worker=w0 reason=lease_over tasks=1 heard_age_s=18.4

A new owner assumed that a former one renews each lease for 8 s more, even on workers
that had already answered the new owner. A worker keeps the highest token that it has
seen and rejects calls with a lower one, so no former owner can renew there after such
an answer. The first answer now limits the assumed end to one longest lease from then,
but never below what this owner granted itself: 10.9 s in the same case, since the owner
sends one more renewal before it finds that the worker does not answer.
"""

import pytest

from larkhoist.codes import Code
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.task_worker import RunningTask, WorkerReport
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history
from tests.fleet.machine import REPORT_INTERVAL_S, FleetMachine

ONE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, accelerators=1, estimate_ms=900)
PREDECESSOR_S = 8.0
SLACK_S = 0.3
"""One step until the owner decides, one until the log has it, one for rounding."""


def take_over() -> tuple[FleetMachine, str]:
    """Return a simulation after a take-over, and the worker that runs its one task."""
    job = make_job(1, ONE)
    machine = make_machine(2, (job,), work_s=60.0, cut_off_renewal_s=PREDECESSOR_S)
    machine.submit(job)
    machine.run(2)
    machine.replace_owner()
    (run,) = machine.world.history
    return machine, run.worker


def crash_permanently(machine: FleetMachine, name: str) -> None:
    worker = machine.world.workers[name]
    machine.world.kill(worker, machine.now_s)
    worker.listed = False


def deliver_report(
    machine: FleetMachine, name: str, asked_s: float, now_s: float
) -> None:
    """Deliver a report at ``now_s`` that confirms all tasks the owner knows there."""
    tasks = sorted(get_worker(machine, name).tasks)
    running = tuple(RunningTask(task, 1, "", 100) for task in tasks)
    report = WorkerReport(0, running, ())
    machine.owner.scheduler.handle_report(name, report, asked_s, now_s, machine.now_ms)


def get_worker(machine: FleetMachine, name: str) -> FleetWorker:
    return machine.owner.scheduler.state.workers[name]


def get_lapse_s(machine: FleetMachine) -> float:
    return machine.owner.scheduler.state.policy.lapse_s


@pytest.mark.parametrize("listed", [True, False])
def test_work_goes_on_one_lease_after_the_last_call(listed):
    machine, name = take_over()
    if not listed:
        # The new owner knows the worker only from the log's record of its task.
        machine.world.workers[name].listed = False
        machine.step()
        machine.replace_owner()
    machine.run(0.5)
    crash_permanently(machine, name)
    # The owner sends one more renewal before the worker counts as silent.
    machine.run(REPORT_INTERVAL_S + get_lapse_s(machine) + SLACK_S)
    assert [run.worker == name for run in machine.world.history] == [True, False]
    check_history(machine)


def test_an_answer_counts_from_when_it_is_taken():
    # A former owner may have renewed while the answer was in transit. If a later report
    # arrives first, the earlier one changes nothing.
    machine, name = take_over()
    worker, lapse_s = get_worker(machine, name), get_lapse_s(machine)
    began_s = machine.now_s
    deliver_report(machine, name, began_s + 1.0, began_s + 2.0)
    assert worker.lease_end_s == began_s + 2.0 + lapse_s
    deliver_report(machine, name, began_s, began_s + 3.0)
    assert worker.lease_end_s == began_s + 2.0 + lapse_s


def test_an_answer_takes_nothing_from_what_the_owner_granted():
    machine, name = take_over()
    worker, policy = get_worker(machine, name), machine.owner.scheduler.state.policy
    granted_s = machine.now_s + 2.0
    machine.owner.scheduler.grant_lease(name, granted_s)
    deliver_report(machine, name, machine.now_s, machine.now_s + 0.5)
    assert worker.lease_end_s == granted_s + policy.lapse_s


def test_an_answer_does_not_lengthen_what_is_inherited():
    machine, name = take_over()
    worker = get_worker(machine, name)
    over_s = worker.lease_end_s
    deliver_report(machine, name, over_s - 1.0, over_s - 0.5)
    assert worker.lease_end_s == over_s


def test_a_worker_listed_again_keeps_what_its_answer_proved():
    machine, name = take_over()
    deliver_report(machine, name, machine.now_s, machine.now_s)
    scheduler, entries = machine.owner.scheduler, machine._list_workers()
    over_s = get_worker(machine, name).lease_end_s
    rest = [entry for entry in entries if entry.name != name]
    scheduler.update_workers(rest, machine.now_s + 1.0)
    scheduler.update_workers(entries, machine.now_s + 2.0)
    assert get_worker(machine, name).lease_end_s == over_s


def test_a_worker_that_never_answers_keeps_the_whole_bound():
    machine, name = take_over()
    machine.cut.add(name)
    over_s = machine.now_s + PREDECESSOR_S + get_lapse_s(machine)
    machine.run(2)
    assert get_worker(machine, name).lease_end_s == over_s


def test_a_refusal_is_no_answer():
    # A worker that refuses a call may not have stored its token.
    machine, name = take_over()
    worker = get_worker(machine, name)
    over_s = worker.lease_end_s
    machine.owner.scheduler.note_refused(name)
    code = Code.ORDER_REFUSED
    (task,) = worker.tasks
    machine.owner.scheduler.handle_start_answer(task, 1, code, True, machine.now_s)
    assert worker.lease_end_s == over_s


def test_a_belief_is_not_begun_anew_by_each_owner():
    # On a worker that has not answered, each owner counts the leases of former owners
    # from its own take-over. With owners of 5 s for a minute, work that was lost with
    # its worker was started again only after 75 s.
    machine, name = take_over()
    crash_permanently(machine, name)
    bound_s = machine.cut_off_renewal_s + get_lapse_s(machine) + SLACK_S
    until_s = machine.now_s + bound_s
    while machine.now_s < until_s:
        machine.run(5.0)
        machine.replace_owner()
    machine.run(2.0)
    assert len(machine.world.history) > 1
