"""Check the promises on the history of a simulated fleet."""

from collections import defaultdict

from larkhoist.codes import Code
from larkhoist.ports.task_worker import EndKind
from tests.fleet.machine import FleetMachine
from tests.fleet.sim_worker import Run

__all__ = ["check_history", "check_outcomes"]

CANCEL_S = 3.0


def check_history(machine: FleetMachine) -> None:
    """Raise ``AssertionError`` where a run broke a promise."""
    by_task: dict[str, list[Run]] = defaultdict(list)
    for run in machine.world.history:
        by_task[run.task].append(run)
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.began_s)
        _check_once(task, runs)
        _check_budget(machine, task, runs)
        _check_order(machine, task, runs, by_task)
        _check_cancelled(machine, task, runs)


def check_outcomes(machine: FleetMachine) -> None:
    """Raise ``AssertionError`` where a job has not ended as its tasks did."""
    done = {run.task for run in machine.world.history if run.kind is EndKind.DONE}
    assert machine.book.entries.keys() == machine.jobs.keys()
    # Of a job that has ended, the outcome alone is kept.
    assert machine.progress == {}
    for job_id, entry in machine.book.entries.items():
        assert entry.outcome is not None, f"job {job_id} has no outcome"
        assert entry.job is None, f"the whole of {job_id} is kept"
        if entry.outcome.code != Code.JOB_FINISHED:
            continue
        for step, spec in enumerate(machine.jobs[job_id].steps):
            for index in range(spec.count):
                task = f"{job_id}.0.{step}.{index}"
                gang = any(name.startswith(f"{job_id}.0.{step}.") for name in done)
                assert task in done or spec.gang and gang, f"{task} never ended done"


def _check_once(task: str, runs: list[Run]) -> None:
    for earlier, later in zip(runs, runs[1:], strict=False):
        assert earlier.ended_s is not None, f"{task} runs twice"
        assert earlier.ended_s <= later.began_s, f"{task} runs twice at once"
        known_done = earlier.kind is EndKind.DONE and earlier.noted
        assert not known_done, f"{task} runs again after its end"
        assert earlier.attempt < later.attempt, f"{task} repeats an attempt"


def _check_budget(machine: FleetMachine, task: str, runs: list[Run]) -> None:
    job = machine.jobs[task.split(".")[0]]
    failed = sum(run.kind is EndKind.FAILED and run.noted for run in runs)
    assert failed <= job.terms.max_attempts, f"{task} failed {failed} times"


def _check_order(machine, task: str, runs: list[Run], by_task) -> None:
    job_id, _, step, _ = task.split(".")
    job = machine.jobs[job_id]
    for before in job.steps[int(step)].depends_on:
        spec = job.steps[before]
        for index in range(spec.count):
            ends = [
                run.ended_s
                for run in by_task[f"{job_id}.0.{before}.{index}"]
                if run.kind is EndKind.DONE
            ]
            assert ends, f"{task} began before step {before} was done"
            assert min(ends) <= runs[0].began_s, f"{task} began too early"


def _check_cancelled(machine, task: str, runs: list[Run]) -> None:
    cancelled_s = machine.cancelled_s.get(task.split(".")[0])
    if cancelled_s is not None:
        began_s = runs[-1].began_s
        assert began_s <= cancelled_s + CANCEL_S, f"{task} began after cancelling"
