"""Check what the owner logs when a worker restarts under the same name."""

from larkhoist.fleet.effects import Note
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.task_worker import EndedTask, EndKind, WorkerReport
from tests.fleet.cases import make_job, make_machine
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


def take_report(machine: FleetMachine, worker: str, report: WorkerReport) -> list[Note]:
    """Pass a report to the scheduler as just asked for; return the logged notes."""
    scheduler, now_s = machine.owner.scheduler, machine.now_s
    scheduler.take_report(worker, report, now_s, now_s, machine.now_ms)
    return list(scheduler.state.round.notes)


def test_a_restart_of_a_worker_is_logged():
    machine, run = run_one_task()
    take_report(machine, run.worker, WorkerReport(0, (), (), started_ms=STARTED_MS))
    notes = take_report(
        machine, run.worker, WorkerReport(0, (), (), started_ms=STARTED_MS + 1)
    )
    (note,) = [note for note in notes if note.event == "worker-restarted"]
    assert note.fields["worker"] == run.worker
    assert note.fields["former_born_ms"] == STARTED_MS


def test_an_end_ignored_for_its_number_is_logged():
    machine, run = run_one_task()
    machine.owner.scheduler.state.workers[run.worker].seen = 5
    ended = EndedTask(3, run.task, run.attempt, EndKind.DONE, "")
    notes = take_report(machine, run.worker, WorkerReport(0, (), (ended,)))
    (note,) = [note for note in notes if note.event == "task-end-ignored"]
    assert (note.fields["number"], note.fields["seen"]) == (3, 5)
