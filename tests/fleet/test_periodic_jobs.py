"""Test jobs that run many times: what is held of their runs, and that each runs."""

import random
from collections import Counter

import pytest
from msgspec.structs import replace

from larkhoist.codes import Code
from larkhoist.fleet import state as fleet_state
from larkhoist.jobs.records import DoneRuns, PhaseId, PhaseProgress, TaskProgress
from larkhoist.jobs.records import encode_job_record as encode
from larkhoist.jobs.registry import JobRegistry, StagedJobEntry
from larkhoist.jobs.run_ranges import RunRanges
from larkhoist.jobs.spec import StagedJob, StepSpec
from larkhoist.ports.keyed_log import StoredRecord
from larkhoist.ports.task_worker import EndKind
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history, check_outcomes
from tests.fleet.machine import STEP_S, FleetMachine

SMALL = StepSpec(count=1, cpu_milli=1000, memory_mb=100, estimate_ms=200)
AFTER = StepSpec(count=1, cpu_milli=1000, estimate_ms=200, depends_on=(0,))


def make_periodic(runs: int, interval_ms: int, *steps: StepSpec) -> StagedJob:
    job = make_job(1, *(steps or (SMALL,)))
    return replace(
        job, runs=runs, first_run_ms=job.submitted_ms, interval_ms=interval_ms
    )


def count_held(machine: FleetMachine) -> int:
    return sum(1 for _ in machine.owner.scheduler.state.iter_phases())


def count_done(machine: FleetMachine) -> Counter[str]:
    history = machine.world.history
    return Counter(run.task for run in history if run.kind is EndKind.DONE)


def test_runs_that_are_not_due_are_not_held():
    # Guards against owners that exceed their memory while they load a day of runs.
    job = make_periodic(86_400, 1000)
    machine = make_machine(2, (job,), work_s=0.2)
    machine.submit(job)
    machine.run(5)
    assert count_held(machine) <= 10
    assert len(machine.world.history) >= 5
    machine.replace_owner()
    assert count_held(machine) <= 10


@pytest.mark.parametrize("change_s", [1000.0, 1.3])
def test_runs_that_are_due_at_once_are_held_a_few_at_a_time(monkeypatch, change_s):
    # Guards against a run that is never opened because others were due with it.
    monkeypatch.setattr(fleet_state, "MAX_OPEN_TASKS", 10)
    job = make_periodic(60, 0, SMALL, AFTER)
    machine = make_machine(2, (job,), work_s=0.2)
    machine.submit(job)
    run_with_changes(machine, 30.0, change_s)
    assert count_done(machine) == Counter(
        f"{job.job_id}.{run}.{step}.0" for run in range(60) for step in range(2)
    )
    assert machine.registry.get(job.job_id).outcome.code == Code.JOB_FINISHED


@pytest.mark.parametrize("seed", range(6))
def test_runs_that_are_done_are_folded_and_never_run_again(monkeypatch, seed):
    # Guards against memory and progress that grow with the runs done so far.
    monkeypatch.setattr(fleet_state, "MIN_FOLDED_RUNS", 8)
    monkeypatch.setattr(fleet_state, "FOLD_AFTER_S", 1.0)
    job = make_periodic(150, 100, SMALL, AFTER)
    machine = make_machine(4, (job,), seed=seed, work_s=0.3)
    rng = random.Random(seed)
    machine.submit(job)
    most = 0
    for _ in range(20):
        run_with_changes(machine, 2.0, rng.choice((0.4, 1.1, 1000.0)))
        most = max(most, len(machine.progress))
    machine.run(8)
    assert most <= 120
    assert set(count_done(machine).values()) == {1}
    assert len(count_done(machine)) == 300
    check_history(machine)
    check_outcomes(machine)
    assert not [key for key in machine.progress if job.job_id in key]


def run_with_changes(machine: FleetMachine, seconds: float, change_s: float) -> None:
    """Advance time, with another owner each ``change_s`` seconds."""
    changed_s = machine.now_s
    for _ in range(round(seconds / STEP_S)):
        machine.step()
        if machine.now_s - changed_s >= change_s:
            machine.replace_owner()
            changed_s = machine.now_s


def test_progress_of_folded_runs_is_removed_by_the_next_owner():
    # Guards against runs that start again since their removal was lost.
    job = make_periodic(100, 1000)
    registry = JobRegistry()
    registry.entries[job.job_id] = StagedJobEntry(job)
    left = PhaseProgress(PhaseId(job.job_id, 3, 0), (TaskProgress(),))
    held = PhaseProgress(PhaseId(job.job_id, 9, 0), (TaskProgress(),))
    done = DoneRuns(job.job_id, RunRanges(((0, 7),)))
    records = [encode(record) for record in (left, held, done)]
    orphaned = registry.replace_progress(
        [StoredRecord(n, one.key, one.value) for n, one in enumerate(records)]
    )
    assert orphaned == [left.phase]
    assert registry.get(job.job_id).done_runs == done.runs


def test_done_runs_of_a_job_that_is_closed_are_removed():
    record = encode(DoneRuns("00000000000000aa", RunRanges(((0, 7),))))
    stored = StoredRecord(1, record.key, record.value)
    assert len(JobRegistry().replace_progress([stored])) == 1


@pytest.mark.parametrize("seed", range(20))
def test_ranges_hold_what_a_set_holds(seed):
    rng = random.Random(seed)
    ranges, expected = RunRanges(), set()
    for _ in range(30):
        runs = [rng.randrange(60) for _ in range(rng.randrange(4))]
        ranges, expected = ranges.add(runs), expected | set(runs)
    assert [run for run in range(-1, 62) if run in ranges] == sorted(expected)
    gaps = zip(ranges.ranges, ranges.ranges[1:], strict=False)
    assert all(before[1] + 1 < after[0] for before, after in gaps)
