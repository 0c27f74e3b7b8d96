"""Test that a job counts as begun only once a worker has begun one of its tasks.

Guards against a count of waiting jobs that leaves out jobs whose starts were ordered
and not carried out. The job was recorded as begun with the decision to start it:

    start-decided job=1 attempt=1 tasks=1 places=0.1@w0
    worker-silent worker=w0 tasks=1
    GET of the queue: no job waits, for 7 s in which nothing ran
"""

import pytest

from larkhoist.codes import Code
from larkhoist.jobs.records import PhaseId, PhaseProgress, TaskProgress
from larkhoist.jobs.registry import JobState
from larkhoist.jobs.spec import StagedJob, StepSpec
from larkhoist.ports.task_worker import LeaseCall, StartOrder
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_begun
from tests.fleet.machine import FleetMachine

ONE = StepSpec(count=1, accelerators=1, estimate_ms=900)
GANG = StepSpec(count=2, accelerators=8, estimate_ms=900, gang=True)


def make_play(
    step: StepSpec = ONE, workers: int = 1, work_s: float = 4.0
) -> tuple[FleetMachine, StagedJob]:
    """Return a simulation whose workers have answered, and a job to submit."""
    job = make_job(1, step)
    machine = make_machine(workers, (job,), work_s=work_s, lease_s=6.0)
    machine.run(1.0)
    return machine, job


def count_waiting(machine: FleetMachine) -> int:
    return machine.registry.count_waiting("queue")


def get_state(machine: FleetMachine, job: StagedJob) -> JobState:
    return machine.registry.get(job.job_id).state


def test_a_job_whose_start_reaches_no_worker_waits():
    machine, job = make_play()
    machine.cut.add("w0")
    machine.submit(job)
    for _ in range(60):
        machine.step()
        check_begun(machine)
        assert count_waiting(machine) == 1
        assert get_state(machine, job) is JobState.WAITING
    machine.cut.clear()
    machine.run(6.0)
    assert count_waiting(machine) == 0


def test_a_job_whose_starts_are_refused_waits():
    machine, job = make_play()
    machine.world.workers["w0"].refusing_until_s = machine.now_s + 6.0
    machine.submit(job)
    machine.run(5.0)
    assert count_waiting(machine) == 1
    machine.run(6.0)
    assert count_waiting(machine) == 0


def test_a_job_whose_start_is_never_sent_waits():
    machine, job = make_play()
    machine.log_down = True
    machine.submit(job)
    machine.run(0.5)
    machine.log_down = False
    machine.cordoned = frozenset({"hall"})
    machine.run(5.0)
    assert not machine.world.history
    assert count_waiting(machine) == 1


@pytest.mark.parametrize("changes_owner", [False, True], ids=["one-owner", "owners"])
def test_a_job_whose_start_got_no_answer_has_begun_once_a_report_says_so(
    changes_owner,
):
    machine, job = make_play(work_s=60.0)
    machine.lost_answers.add("w0")
    machine.submit(job)
    machine.run(1.0)
    assert machine.world.history
    if changes_owner:
        machine.replace_owner()
    machine.lost_answers.clear()
    machine.run(2.0)
    assert count_waiting(machine) == 0
    assert get_state(machine, job) is JobState.RUNNING


def test_a_job_has_begun_if_the_end_of_its_run_is_all_that_is_heard():
    # The run ends before any answer arrives; it failed, so that the job goes on.
    job = make_job(1, ONE)
    machine = make_machine(
        1, (job,), work_s=0.3, lease_s=6.0, fails=lambda task, worker: True
    )
    machine.run(1.0)
    machine.lost_answers.add("w0")
    machine.submit(job)
    machine.run(1.0)
    assert machine.world.history
    assert count_waiting(machine) == 1
    machine.lost_answers.clear()
    machine.world.workers["w0"].refusing_until_s = float("-inf")
    for _ in range(20):
        machine.step()
        check_begun(machine)
    assert count_waiting(machine) == 0


def test_a_gang_has_begun_with_its_first_member():
    machine, job = make_play(GANG, workers=2, work_s=60.0)
    machine.submit(job)
    machine.step()
    # One of the members reaches its worker.
    machine.cut.add("w1")
    machine.run(1.0)
    assert {run.worker for run in machine.world.history} == {"w0"}
    assert count_waiting(machine) == 0


@pytest.mark.parametrize(
    ("task", "begun"),
    [
        (TaskProgress(2, failures=1), True),
        (TaskProgress(2, checkpoint="c"), True),
        (TaskProgress(2, "w0", address="w0", seen=True), True),
        (TaskProgress(2), False),
        (TaskProgress(2, "w0", address="w0"), False),
    ],
    ids=["failed", "saved", "seen", "over", "ordered"],
)
def test_an_owner_records_what_the_progress_says_of_a_start(task, begun):
    # The former owner's record that the job has begun did not reach the log.
    machine, job = make_play()
    machine.cut.add("w0")
    machine.submit(job)
    progress = PhaseProgress(PhaseId(job.job_id, 0, 0), (task,))
    machine.replace_owner()
    entry = machine.registry.get(job.job_id)
    entry.phases = {progress.phase: progress}
    scheduler = machine.owner.scheduler
    del scheduler.state.jobs[job.job_id]
    scheduler._added_job_ids.clear()
    scheduler.add_job(entry, machine.now_s, machine.now_ms)
    machine.run(1.0)
    assert count_waiting(machine) == (0 if begun else 1)


def test_nothing_is_recorded_of_a_start_once_the_job_has_ended():
    # A record after the removal of the others would stay on the log for ever.
    machine, job = make_play(work_s=60.0)
    machine.lost_answers.add("w0")
    machine.submit(job)
    machine.run(1.0)
    machine.cancel(job.job_id)
    machine.lost_answers.clear()
    machine.run(3.0)
    entry = machine.registry.get(job.job_id)
    assert entry.outcome.code == Code.JOB_CANCELLED
    assert not entry.begun


def test_orders_carried_out_late_count_from_when_they_are():
    machine, job = make_play(work_s=60.0)
    machine.order_delay_s["w0"] = 2.0
    machine.submit(job)
    machine.run(1.5)
    assert not machine.world.history
    assert count_waiting(machine) == 1
    assert any(isinstance(late.order, StartOrder | LeaseCall) for late in machine.late)
    machine.order_delay_s.clear()
    for _ in range(120):
        machine.step()
        check_begun(machine)
    assert count_waiting(machine) == 0
