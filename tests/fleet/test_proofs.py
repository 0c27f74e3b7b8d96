"""Test that an attempt counts as over only on proof, and on each proof at once.

The scheduler must neither free a task without proof that its attempt has ended nor
wait for a proof that can no longer arrive.
"""

import pytest

from larkhoist.codes import Code
from larkhoist.fleet.departure import Announced, Staying
from larkhoist.fleet.effects import Round
from larkhoist.jobs.records import JobOutcome, PhaseId, PhaseProgress, TaskProgress
from larkhoist.jobs.registry import StagedJobEntry
from larkhoist.jobs.spec import StagedJob, StepSpec
from larkhoist.ports.task_worker import (
    CLOCK_DRIFT,
    EndedTask,
    EndKind,
    RunningTask,
    WorkerReport,
)
from tests.fleet.cases import make_job, make_machine
from tests.fleet.machine import FleetMachine

ONE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, accelerators=1, estimate_ms=900)
PAIR = StepSpec(count=2, accelerators=8, gang=True)
EMPTY_REPORT = WorkerReport(0, (), ())


def submit_one(workers: int = 2) -> tuple[FleetMachine, StagedJob]:
    job = make_job(1, ONE)
    machine = make_machine(workers, (job,))
    machine.run(1)
    machine.submit(job)
    return machine, job


def decide(machine: FleetMachine, at_s: float) -> Round:
    return machine.owner.scheduler.decide(at_s, machine.now_ms)


def pass_report(
    machine: FleetMachine, worker: str, content: WorkerReport, at_s
) -> None:
    machine.owner.scheduler.handle_report(worker, content, at_s, at_s, machine.now_ms)


def get_proofs(decided: Round) -> list[str]:
    over = [note for note in decided.notes if note.event == "attempt-over"]
    return [note.fields["proof"] for note in over]


def get_outcomes(decided: Round) -> list[int]:
    return [r.code for r in decided.records if isinstance(r, JobOutcome)]


def take_over(progress: PhaseProgress, job: StagedJob) -> FleetMachine:
    """Return a machine whose owner has read a job's progress."""
    machine = make_machine(2, (job,))
    entry = StagedJobEntry(job=job, begun=True, phases={progress.phase: progress})
    machine.owner.scheduler.add_job(entry, machine.now_s, machine.now_ms)
    return machine


def test_a_report_after_a_start_was_answered_proves_by_absence():
    machine, _ = submit_one()
    (start,) = decide(machine, machine.now_s).starts
    at_s = machine.now_s + 0.1
    scheduler = machine.owner.scheduler
    # Requested before the start was answered, so it may be older than the start.
    pass_report(machine, start.worker, EMPTY_REPORT, at_s)
    assert not get_proofs(decide(machine, at_s))
    scheduler.handle_start_answer(start.task, start.attempt, None, False, at_s)
    pass_report(machine, start.worker, EMPTY_REPORT, at_s + 0.1)
    assert get_proofs(decide(machine, at_s + 0.1)) == ["absent_from_report"]


def test_a_report_that_does_not_list_all_ends_proves_nothing_by_absence():
    # A report lists a limited number of ends; a later one may list the task's end.
    machine, _ = submit_one()
    (start,) = decide(machine, machine.now_s).starts
    at_s = machine.now_s + 0.1
    scheduler = machine.owner.scheduler
    scheduler.handle_start_answer(start.task, start.attempt, None, False, at_s)
    other = EndedTask(1, f"{9:016x}.0.0.0", 1, EndKind.DONE, "")
    partial = WorkerReport(0, (), (other,), complete=False)
    pass_report(machine, start.worker, partial, at_s + 1)
    assert not decide(machine, at_s + 1).starts
    done = EndedTask(2, start.task, start.attempt, EndKind.DONE, "")
    pass_report(machine, start.worker, WorkerReport(0, (), (done,)), at_s + 2)
    assert get_outcomes(decide(machine, at_s + 2)) == [Code.JOB_FINISHED]


def test_a_start_without_an_answer_is_over_once_its_own_lease_is():
    # Stops are refused, and reports are answered but empty. Each report renews the
    # worker's lease, so the attempt would never be over if it ended with that lease.
    machine, _ = submit_one()
    (start,) = decide(machine, machine.now_s).starts
    scheduler = machine.owner.scheduler
    at_s = machine.now_s
    code = Code.WORKER_SILENT
    scheduler.handle_start_answer(start.task, start.attempt, code, True, at_s)
    lapse_s = scheduler.state.policy.lapse_s
    for waited_s in (1.0, 5.0, lapse_s):
        scheduler.grant_lease(start.worker, at_s + waited_s)
        pass_report(machine, start.worker, EMPTY_REPORT, at_s + waited_s)
        assert not decide(machine, at_s + waited_s).starts
    later_s = at_s + lapse_s + 0.1
    pass_report(machine, start.worker, EMPTY_REPORT, later_s)
    decided = decide(machine, later_s)
    assert get_proofs(decided) == ["absent_from_report"]
    assert decided.starts


@pytest.mark.parametrize("code", [Code.ORDER_REFUSED, Code.ORDER_TOO_LATE])
def test_a_worker_that_refuses_starts_gets_the_next_one_later_each_time(code):
    # Without a pause, half of the attempts came within 16 ms of the one before, up to
    # 1,135 attempts of one task in 30 s.
    machine, _ = submit_one(workers=1)
    scheduler = machine.owner.scheduler
    start_times_s = []
    at_s = machine.now_s
    while at_s < machine.now_s + 12.0:
        for start in decide(machine, at_s).starts:
            start_times_s.append(round(at_s - machine.now_s, 1))
            scheduler.handle_start_answer(start.task, start.attempt, code, False, at_s)
        at_s += 0.1
    gaps = [b - a for a, b in zip(start_times_s, start_times_s[1:], strict=False)]
    assert [round(gap) for gap in gaps] == [1, 1, 2, 4, 4][: len(gaps)]
    assert 0.4 < gaps[0] < 1.1
    assert len(gaps) >= 4


def test_starts_that_are_refused_together_count_once():
    job = make_job(1, StepSpec(count=4, accelerators=1, estimate_ms=900))
    machine = make_machine(1, (job,))
    machine.run(1)
    machine.submit(job)
    scheduler = machine.owner.scheduler
    at_s = machine.now_s
    code = Code.ORDER_REFUSED
    starts = decide(machine, at_s).starts
    assert len(starts) == 4
    for start in starts:
        scheduler.handle_start_answer(start.task, start.attempt, code, False, at_s)
    worker = scheduler.state.workers["w0"]
    assert worker.paused_until_s == at_s + scheduler.state.policy.refused_pause_s


def test_a_worker_that_refuses_for_long_is_paused_for_the_longest_time():
    machine, _ = submit_one(workers=1)
    scheduler = machine.owner.scheduler
    policy = scheduler.state.policy
    code = Code.ORDER_REFUSED
    at_s = machine.now_s
    for _ in range(2000):
        for start in decide(machine, at_s).starts:
            scheduler.handle_start_answer(start.task, start.attempt, code, False, at_s)
        at_s += policy.longest_refused_pause_s + 0.1
    worker = scheduler.state.workers["w0"]
    assert worker.refused_pause_s == policy.longest_refused_pause_s


def test_a_worker_that_refuses_to_report_gets_no_start_until_it_reports():
    machine, _ = submit_one(workers=1)
    scheduler = machine.owner.scheduler
    scheduler.note_refused("w0")
    assert not decide(machine, machine.now_s).starts
    scheduler.note_heard("w0", machine.now_s + 0.1)
    assert decide(machine, machine.now_s + 0.1).starts


def test_an_unwanted_run_is_stopped_until_a_report_lacks_it():
    machine = make_machine(1)
    machine.run(1)
    scheduler = machine.owner.scheduler
    stray = RunningTask(f"{9:016x}.0.0.0", 3, "", 100)
    at_s = machine.now_s
    pass_report(machine, "w0", WorkerReport(0, (stray,), ()), at_s)
    assert [stop.attempt for stop in decide(machine, at_s).stops] == [3]
    assert scheduler.is_busy("w0")
    again = decide(machine, at_s + scheduler.state.policy.resend_stop_s + 0.1)
    assert [stop.task for stop in again.stops] == [stray.task]
    # It runs under another owner's lease; a lease from this owner would prolong it.
    assert scheduler.grant_lease("w0", at_s + 1) is None
    pass_report(machine, "w0", EMPTY_REPORT, at_s + 1.5)
    assert not scheduler.is_busy("w0")
    assert not decide(machine, at_s + 3).stops


def test_an_unwanted_run_is_given_up_with_the_longest_lease():
    machine = make_machine(1)
    machine.run(1)
    scheduler = machine.owner.scheduler
    stray = RunningTask(f"{9:016x}.0.0.0", 3, "", 100)
    at_s = machine.now_s
    pass_report(machine, "w0", WorkerReport(0, (stray,), ()), at_s)
    lapse_s = scheduler.state.policy.lapse_s
    decide(machine, at_s + lapse_s - 0.1)
    assert scheduler.is_busy("w0")
    decide(machine, at_s + lapse_s + 0.1)
    assert not scheduler.is_busy("w0")


def test_a_successor_counts_one_failure_of_a_gang_once():
    # The first owner counted one member's failure for the whole gang. The failure of
    # the other member in the same attempt is reported to the new owner.
    job = make_job(1, PAIR, max_attempts=2)
    members = (
        TaskProgress(attempt=1, failures=1),
        TaskProgress(attempt=1, worker="w1", failures=1),
    )
    phase = PhaseId(job.job_id, 0, 0)
    machine = take_over(PhaseProgress(phase, members, failed_attempt=1), job)
    failed = EndedTask(1, f"{job.job_id}.0.0.1", 1, EndKind.FAILED, "")
    at_s = machine.now_s + 1
    pass_report(machine, "w1", WorkerReport(0, (), (failed,)), at_s)
    assert not get_outcomes(decide(machine, at_s))


def test_the_failure_that_was_counted_is_kept():
    job = make_job(1, PAIR, max_attempts=2)
    machine = make_machine(2, (job,), fails=lambda task, worker: True)
    machine.submit(job)
    records = []
    for _ in range(30):
        machine.step()
        records += [r for round_ in machine.owner.uncommitted for r in round_.records]
    kept = [r for r in records if isinstance(r, PhaseProgress)]
    failed = [r for r in kept if any(task.failures == 1 for task in r.tasks)]
    assert {record.failed_attempt for record in failed} == {1}


def test_a_successor_stops_the_rest_of_a_gang_of_which_a_member_has_ended():
    job = make_job(1, PAIR, max_attempts=3)
    members = (TaskProgress(attempt=1), TaskProgress(attempt=1, worker="w1"))
    phase = PhaseId(job.job_id, 0, 0)
    machine = take_over(PhaseProgress(phase, members), job)
    decided = decide(machine, machine.now_s)
    assert [stop.worker for stop in decided.stops] == ["w1"]
    assert not decided.starts


def test_a_worker_whose_address_another_has_is_over_and_not_asked_again():
    machine, job = submit_one()
    (start,) = decide(machine, machine.now_s).starts
    scheduler = machine.owner.scheduler
    entries = machine._list_workers()
    stray = RunningTask(f"{9:016x}.0.0.0", 3, "", 100)
    pass_report(machine, start.worker, WorkerReport(0, (stray,), ()), machine.now_s)
    scheduler.note_replaced(start.worker, machine.now_s)
    decided = decide(machine, machine.now_s)
    assert get_proofs(decided) == ["worker_replaced"]
    assert [again.task for again in decided.starts] == [start.task]
    # Its unwanted run is forgotten, and its remaining entry in the list is ignored.
    scheduler.update_workers(entries, machine.now_s + 1)
    assert start.worker not in scheduler.state.workers


def test_a_start_without_an_answer_that_a_report_shows_running_runs_on():
    machine, _ = submit_one()
    (start,) = decide(machine, machine.now_s).starts
    scheduler = machine.owner.scheduler
    running = RunningTask(start.task, start.attempt, "", 100)
    at_s = machine.now_s + 0.5
    pass_report(machine, start.worker, WorkerReport(0, (running,), ()), at_s)
    code = Code.WORKER_SILENT
    scheduler.handle_start_answer(start.task, start.attempt, code, True, at_s + 0.5)
    assert not decide(machine, at_s + 0.5).stops
    # The task was seen running, so a later report without it proves that it ended.
    pass_report(machine, start.worker, EMPTY_REPORT, at_s + 1)
    assert get_proofs(decide(machine, at_s + 1)) == ["absent_from_report"]


def test_a_start_that_was_dropped_frees_its_task_by_that():
    machine, _ = submit_one()
    (start,) = decide(machine, machine.now_s).starts
    scheduler = machine.owner.scheduler
    scheduler.note_never_sent(start.task, start.attempt, machine.now_s)
    decided = decide(machine, machine.now_s)
    assert get_proofs(decided) == ["never_sent"]
    assert [again.attempt for again in decided.starts] == [2]


def test_a_lease_is_counted_as_long_as_it_is_granted():
    machine, _ = submit_one()
    (start,) = decide(machine, machine.now_s).starts
    scheduler = machine.owner.scheduler
    policy = scheduler.state.policy
    worker = scheduler.state.workers[start.worker]
    at_s = machine.now_s + 5
    for leaving, longest_s in ((False, policy.lease_s), (True, 2.0)):
        worker.departure = Announced(0, None) if leaving else Staying()
        worker.lease_end_s = at_s
        lease_s = scheduler.grant_lease(start.worker, at_s)
        assert lease_s == longest_s
        assert worker.lease_end_s >= at_s + lease_s / (1 - CLOCK_DRIFT)


def test_a_worker_gets_short_leases_once_its_entry_is_gone_for_long():
    machine, _ = submit_one()
    (start,) = decide(machine, machine.now_s).starts
    scheduler = machine.owner.scheduler
    policy = scheduler.state.policy
    rest = [e for e in machine._list_workers() if e.name != start.worker]
    at_s = machine.now_s
    scheduler.update_workers(rest, at_s)
    # Entries that expired while the worker list was unavailable are back by then.
    assert scheduler.grant_lease(start.worker, at_s + 2) == policy.lease_s
    patience_s = policy.unlisted_grace_s
    lease_s = scheduler.grant_lease(start.worker, at_s + patience_s + 0.1)
    assert lease_s == policy.departing_lease_s


def test_a_successor_counts_the_leases_of_its_predecessor():
    job = make_job(1, ONE)
    members = (TaskProgress(attempt=1, worker="gone", address="gone:1"),)
    phase = PhaseId(job.job_id, 0, 0)
    machine = take_over(PhaseProgress(phase, members), job)
    policy = machine.owner.scheduler.state.policy
    # A former owner that lost contact with the log renews leases for some time.
    over_s = machine.now_s + policy.cut_off_renewal_s + policy.lapse_s
    assert not decide(machine, over_s - 0.1).starts
    assert get_proofs(decide(machine, over_s + 0.1)) == ["lease_over"]
