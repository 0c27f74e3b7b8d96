"""Test that long checkpoints neither exceed a record of the log nor get lost."""

import pytest

from larkhoist.control.round_records import encode_round
from larkhoist.jobs.registry import StagedJobEntry
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.task_worker import EndedTask, EndKind, RunningTask, WorkerReport
from tests.fleet.cases import make_job
from tests.fleet.test_decision_cost import NOW_MS, NOW_S, make_scheduler

RECORD_BYTES = 262_144


def run_lasting(count: int, checkpoint: str):
    """Return a scheduler and its rounds after one of ``count`` tasks has failed.

    All of them run on the first worker and have saved a checkpoint of this text.
    """
    scheduler = make_scheduler(1)
    step = StepSpec(count=count, cpu_milli=5, long_running=True, checkpoints=True)
    job = make_job(1, step)
    active = scheduler.state.add_job(StagedJobEntry(job), NOW_S, NOW_MS)
    scheduler.decide(NOW_S, NOW_MS)
    (phase,) = active.phases.values()
    running = tuple(RunningTask(t.name, 1, checkpoint, None) for t in phase.tasks)
    report = WorkerReport(1, running, (), True, 0)
    scheduler.handle_report("w0", report, NOW_S + 1, NOW_S + 1, NOW_MS + 1000)
    rounds = [scheduler.decide(NOW_S + 1, NOW_MS + 1000)]
    ended = EndedTask(1, phase.tasks[0].name, 1, EndKind.FAILED, checkpoint)
    report = WorkerReport(2, running[1:], (ended,), True, 0)
    scheduler.handle_report("w0", report, NOW_S + 2, NOW_S + 2, NOW_MS + 2000)
    rounds.append(scheduler.decide(NOW_S + 2, NOW_MS + 2000))
    return phase, rounds


@pytest.mark.parametrize(("count", "size"), [(94, 3000), (3000, 16), (94, 12_000)])
def test_no_record_of_a_step_exceeds_the_limit_of_the_log(count, size):
    # Guards against owners that give up in turn, since the log refuses their records.
    phase, rounds = run_lasting(count, "x" * size)
    for decided in rounds:
        for record in encode_round(decided).progress:
            assert len(record.value) < RECORD_BYTES
    assert [start.checkpoint for start in rounds[-1].starts] == ["x" * size]
    assert all(task.checkpoint == "x" * size for task in phase.tasks)


def test_a_checkpoint_that_no_record_can_hold_is_not_kept():
    phase, rounds = run_lasting(94, "x" * 12_001)
    assert [start.checkpoint for start in rounds[-1].starts] == [""]
    events = [note.event for note in rounds[-1].notes]
    assert events.count("checkpoint-too-long") == 1
