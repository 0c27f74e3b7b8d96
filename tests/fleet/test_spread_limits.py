"""Test steps with more tasks than their spread limit allows at once."""

import pytest

from larkhoist.fleet.effects import Round
from larkhoist.fleet.task import Phase
from larkhoist.jobs.spec import StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history, check_outcomes
from tests.fleet.progress import run_and_find_stalls

WORK_S = 2.0


@pytest.mark.parametrize(("count", "limit"), [(8, 1), (14, 1), (13, 2)])
def test_a_step_wider_than_its_spread_limit_stood_still_for_good(count, limit):
    # Guards against never starting another task of the step on a worker where one is
    # done.
    job = make_job(1, StepSpec(count=count, accelerators=1, spread_limit=limit))
    machine = make_machine(6, (job,), work_s=WORK_S)
    machine.submit(job)
    machine.run(5 * WORK_S)
    check_history(machine)
    check_outcomes(machine)


def test_the_next_task_starts_as_soon_as_the_limit_allows():
    job = make_job(1, StepSpec(count=7, accelerators=1, spread_limit=1))
    machine = make_machine(6, (job,), work_s=WORK_S)
    machine.submit(job)
    machine.run(4 * WORK_S)
    runs = sorted(run.began_s for run in machine.world.history)
    first_end_s = min(run.ended_s for run in machine.world.history)
    assert len(runs) == 7
    assert runs[-1] <= first_end_s + 0.3


def test_a_step_goes_on_after_workers_left_for_good():
    job = make_job(1, StepSpec(count=6, accelerators=1, spread_limit=1))
    machine = make_machine(6, (job,), work_s=WORK_S)
    machine.run(1.0)
    for name in ("w4", "w5"):
        worker = machine.world.workers[name]
        machine.world.leave(worker, machine.now_s, 0.0, announced=True)
    machine.run(2.0)
    machine.submit(job)
    machine.run(5 * WORK_S)
    check_history(machine)
    check_outcomes(machine)


def test_no_step_wider_than_its_spread_limit_stands_still():
    job = make_job(1, StepSpec(count=8, accelerators=1, spread_limit=1))
    machine = make_machine(6, (job,), work_s=WORK_S)
    machine.submit(job)
    assert run_and_find_stalls(machine, 10.0).found == {}


def test_lasting_tasks_are_seen_to_stand_still_one_by_one():
    job = make_job(1, StepSpec(count=3, accelerators=1, long_running=True))
    machine = make_machine(4, (job,), work_s=100.0)
    machine.submit(job)
    machine.run(1.0)
    lost = next(run for run in machine.world.history if run.task.endswith(".1"))
    others = [name for name in machine.world.workers if name != lost.worker]
    machine.world.kill(lost.sim_worker, machine.now_s)
    machine.owner.scheduler.decide = lambda now_s, now_ms: Round()
    stills = run_and_find_stalls(machine, 9.5)
    key = (job.job_id, 0, 1)
    assert len(others) == 3
    assert key in stills.found
    assert stills.found[key].since_s >= lost.ended_s + 6.0


def test_more_tasks_at_a_time_than_the_limit_are_seen(monkeypatch):
    monkeypatch.setattr(Phase, "count_taken", lambda phase: {})
    job = make_job(1, StepSpec(count=3, accelerators=1, spread_limit=1))
    machine = make_machine(2, (job,), work_s=WORK_S)
    machine.submit(job)
    machine.run(WORK_S)
    with pytest.raises(AssertionError, match="has 2 tasks of .* 1 at most"):
        check_history(machine)
