"""Test how the owner handles a worker that restarts under the same name."""

from dataclasses import replace as replace_fields

import pytest
from msgspec.structs import replace

from larkhoist.fleet.effects import Note
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import ListedTaskWorker
from larkhoist.ports.task_worker import EndedTask, EndKind, WorkerReport
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history, check_outcomes
from tests.fleet.machine import FleetMachine
from tests.fleet.sim_worker import Run

ONE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, accelerators=1, estimate_ms=900)
STARTED_MS = 1_700_000_000_000


def run_one_task() -> tuple[FleetMachine, Run]:
    """Return a machine with two workers and its only run, which has started."""
    job = make_job(1, ONE)
    machine = make_machine(2, (job,), work_s=60.0)
    machine.submit(job)
    machine.run(1)
    (run,) = machine.world.history
    return machine, run


def handle_report(
    machine: FleetMachine, worker: str, report: WorkerReport
) -> list[Note]:
    """Pass a report to the scheduler as just asked for; return the logged notes."""
    scheduler, now_s = machine.owner.scheduler, machine.now_s
    scheduler.handle_report(worker, report, now_s, now_s, machine.now_ms)
    return list(scheduler.state.round.notes)


def test_a_restart_of_a_worker_is_logged():
    machine, run = run_one_task()
    handle_report(machine, run.worker, WorkerReport(0, (), (), started_ms=STARTED_MS))
    notes = handle_report(
        machine, run.worker, WorkerReport(0, (), (), started_ms=STARTED_MS + 1)
    )
    (note,) = [note for note in notes if note.event == "worker-restarted"]
    assert note.fields["worker"] == run.worker
    assert note.fields["former_born_ms"] == STARTED_MS


def test_an_end_ignored_for_its_number_is_logged():
    machine, run = run_one_task()
    machine.owner.scheduler.state.workers[run.worker].seen = 5
    ended = EndedTask(3, run.task, run.attempt, EndKind.DONE, "")
    notes = handle_report(machine, run.worker, WorkerReport(0, (), (ended,)))
    (note,) = [note for note in notes if note.event == "task-end-ignored"]
    assert (note.fields["number"], note.fields["seen"]) == (3, 5)


def restart(machine: FleetMachine, name: str, downtime_s: float = 0.6) -> None:
    """Crash a worker and restart it under the same name after ``downtime_s``."""
    worker = machine.world.workers[name]
    machine.world.kill(worker, machine.now_s)
    machine.run(downtime_s)
    machine.world.restart(worker, machine.now_s)


def test_ends_on_a_restarted_worker_are_taken_once():
    # A restarted worker numbers its ends from 1 again. If they are ignored but
    # acknowledged, their tasks run twice.
    jobs = tuple(make_job(n, replace(ONE, count=2)) for n in (1, 2))
    machine = make_machine(1, jobs)
    machine.submit(jobs[0])
    machine.run(4.0)
    restart(machine, "w0")
    machine.submit(jobs[1])
    machine.run(20.0)
    check_history(machine)
    check_outcomes(machine)
    assert len(machine.world.history) == 4


def test_a_gang_starts_on_workers_that_were_silent_while_idle():
    # Idle workers that leave a probe unanswered must be asked for reports again.
    full_worker_step = replace(ONE, accelerators=8)
    jobs = (
        make_job(1, replace(full_worker_step, count=3)),
        make_job(2, replace(full_worker_step, count=6, gang=True)),
    )
    machine = make_machine(6, jobs, work_s=3.0)
    machine.submit(jobs[0])
    machine.run(1.0)
    machine.cut = {worker.address for worker in machine.world.workers.values()}
    machine.run(1.5)
    machine.cut = set()
    machine.run(5.0)
    machine.submit(jobs[1])
    machine.run(3.0)
    gang = [run for run in machine.world.history if run.task.startswith(jobs[1].job_id)]
    assert len(gang) == 6


def list_worker(machine: FleetMachine, entry: ListedTaskWorker) -> None:
    """Pass the scheduler a worker list that contains only ``entry``."""
    machine.owner.scheduler.update_workers([entry], machine.now_s)


def test_a_leaving_worker_is_usable_after_its_restart():
    machine = make_machine(1)
    machine.run(1.0)
    (entry,) = machine._list_workers()
    worker = machine.owner.scheduler.state.workers["w0"]
    list_worker(machine, replace_fields(entry, leaving=True))
    assert not worker.is_usable(machine.now_s)
    list_worker(machine, replace_fields(entry, started_ms=entry.started_ms + 1))
    assert worker.is_usable(machine.now_s)


def test_a_restarted_worker_gets_its_newly_listed_attributes():
    machine = make_machine(1)
    machine.run(1.0)
    (entry,) = machine._list_workers()
    labels = frozenset(("b", "r7"))
    later = replace_fields(
        entry, started_ms=entry.started_ms + 1, rack="r7", labels=labels, address="x"
    )
    list_worker(machine, later)
    worker = machine.owner.scheduler.state.workers["w0"]
    assert (worker.rack, worker.labels, worker.address) == ("r7", labels, "x")


def test_an_entry_of_a_former_incarnation_changes_nothing():
    machine = make_machine(1)
    machine.run(1.0)
    (entry,) = machine._list_workers()
    later = WorkerReport(0, (), (), started_ms=entry.started_ms + 1)
    handle_report(machine, "w0", later)
    list_worker(machine, replace_fields(entry, leaving=True))
    assert machine.owner.scheduler.state.workers["w0"].is_usable(machine.now_s)


def test_a_replaced_worker_is_listed_again_after_its_restart():
    # Guards against ignoring every later entry with a replaced worker's name.
    machine = make_machine(1)
    machine.run(1.0)
    (entry,) = machine._list_workers()
    scheduler = machine.owner.scheduler
    scheduler.note_replaced("w0", machine.now_s)
    scheduler.decide(machine.now_s, machine.now_ms)
    list_worker(machine, entry)
    assert "w0" not in scheduler.state.workers
    list_worker(machine, replace_fields(entry, started_ms=entry.started_ms + 1))
    assert scheduler.state.workers["w0"].listed


@pytest.mark.parametrize(("leaving", "crashes"), [(False, 1), (True, 0)])
def test_a_restart_counts_as_a_crash_unless_the_worker_was_leaving(leaving, crashes):
    # Guards against retrying a task without limit when it crashes every worker.
    machine, run = run_one_task()
    scheduler = machine.owner.scheduler
    (entry,) = [e for e in machine._list_workers() if e.name == run.worker]
    list_worker(machine, replace_fields(entry, leaving=leaving))
    started_ms = entry.started_ms + 1
    handle_report(machine, run.worker, WorkerReport(0, (), (), started_ms=started_ms))
    machine.now_s += 0.1
    handle_report(machine, run.worker, WorkerReport(0, (), (), started_ms=started_ms))
    _, task = scheduler.state.find(run.task)
    assert not task.is_on_worker
    assert task.lost.crashes == crashes


def test_a_restart_before_a_change_of_owner_counts_as_a_lost_worker():
    # Guards against a new owner that treats the lost attempt as never started.
    machine, run = run_one_task()
    worker = machine.world.workers[run.worker]
    machine.world.kill(worker, machine.now_s)
    machine.world.restart(worker, machine.now_s + 0.1)
    machine.replace_owner()
    machine.run(1.0)
    _, task = machine.owner.scheduler.state.find(run.task)
    assert task.attempt == 2
    assert task.lost.unsure == 1
