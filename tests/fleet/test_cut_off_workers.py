"""Test that workers that were only cut off don't end the jobs that ran there.

Guards against showing a job as failed though none of its runs failed. A worker that is
cut off for longer than its lease ends its tasks. Each such loss counted as a possible
crash, and still did after the worker had answered again as the same incarnation:

    worker-idle worker=w0 reason=lease_over tasks=1
    worker-answers worker=w0 tasks=0
    attempt-over task=1.0.0.0 attempt=5 proof=lease_over crashes=0 blamed=0 unsure=5
    job-given-up task=1.0.0.0 attempt=5 crashes=0 blamed=0 unsure=5
"""

import random

import pytest

from larkhoist.codes import Code
from larkhoist.jobs.records import (
    BlockProgress,
    LostWorkers,
    PhaseId,
    PhaseProgress,
    RecordedLoss,
    TaskProgress,
)
from larkhoist.jobs.spec import StagedJob, StepSpec
from larkhoist.jobs.step_progress import StoredProgress, combine_progress
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import (
    check_given_up,
    check_history,
    check_outcomes,
    check_running,
)
from tests.fleet.disturbances import FaultInjector
from tests.fleet.machine import STEP_S, FleetMachine
from tests.fleet.sim_worker import Run
from tests.fleet.test_interleavings import (
    RECOVERY_S,
    choose_crashing_tasks,
    create_play,
)

LEASE_S = 6.0
LOST_S = 8.0
"""Time after which the lease of a worker that is cut off is over for the owner."""
CUTS = 7
CUT_SEEDS = 15
ONE = StepSpec(count=1, accelerators=1, estimate_ms=30_000)
GANG = StepSpec(count=3, accelerators=4, estimate_ms=30_000, gang=True)
LONG_RUNNING = StepSpec(count=1, accelerators=1, long_running=True)
STEPS = pytest.mark.parametrize(
    "step", [ONE, GANG, LONG_RUNNING], ids=["one", "gang", "lasting"]
)


def make_play(step: StepSpec, workers: int = 9) -> tuple[FleetMachine, StagedJob]:
    """Return a simulation in which a job of one step has begun to run."""
    job = make_job(1, step)
    work_s = 1e9 if step.long_running else 30.0
    machine = make_machine(workers, (job,), work_s=work_s, lease_s=LEASE_S)
    machine.submit(job)
    machine.run(1.0)
    return machine, job


def find_run(machine: FleetMachine, job: StagedJob) -> Run:
    """Return a run of the job's first task that is in progress."""
    task = f"{job.job_id}.0.0.0"
    runs = machine.world.history
    return next(run for run in runs if run.task == task and run.ended_s is None)


def cut_off(machine: FleetMachine, job: StagedJob) -> str:
    """Cut off the worker of the first task until its lease is over; return it."""
    worker = find_run(machine, job).worker
    machine.cut.add(worker)
    machine.run(LOST_S)
    return worker


def get_code(machine: FleetMachine, job: StagedJob) -> int | None:
    outcome = machine.registry.get(job.job_id).outcome
    return outcome and outcome.code


def get_task(machine: FleetMachine, job: StagedJob):
    return machine.owner.scheduler.state.find(f"{job.job_id}.0.0.0")[1]


@STEPS
@pytest.mark.parametrize("changes_owner", [False, True], ids=["one-owner", "owners"])
def test_workers_cut_off_in_turn_do_not_end_a_job(step, changes_owner):
    machine, job = make_play(step)
    for _ in range(CUTS):
        worker = cut_off(machine, job)
        if changes_owner:
            # The next owner must learn that the worker is the one that was lost.
            machine.replace_owner()
        machine.cut.discard(worker)
        machine.run(2.0)
    machine.run(35.0)
    check_history(machine)
    expected = None if step.long_running else Code.JOB_FINISHED
    assert get_code(machine, job) == expected


@STEPS
@pytest.mark.parametrize("changes_owner", [False, True], ids=["one-owner", "owners"])
def test_workers_that_are_cut_off_at_the_same_time_do_not_end_a_job(
    step, changes_owner
):
    # Five workers are lost before any of them answers again.
    machine, job = make_play(step, workers=17)
    for _ in range(5):
        cut_off(machine, job)
    machine.run(10.0)
    if changes_owner:
        machine.replace_owner()
        machine.run(2.0)
    assert get_code(machine, job) is None
    machine.cut.clear()
    machine.run(3.0)
    assert find_run(machine, job)
    machine.run(35.0)
    check_history(machine)
    expected = None if step.long_running else Code.JOB_FINISHED
    assert get_code(machine, job) == expected


def test_a_worker_that_answers_after_a_long_cut_still_takes_its_loss_back():
    machine, job = make_play(LONG_RUNNING)
    worker = cut_off(machine, job)
    machine.run(90.0)
    assert get_task(machine, job).lost.unsure == 1
    machine.cut.discard(worker)
    machine.run(2.0)
    assert get_task(machine, job).lost == LostWorkers()


def test_starts_on_workers_that_are_cut_off_do_not_end_a_job():
    # The starts are never answered, so the task is never seen to run.
    machine, job = make_play(LONG_RUNNING)
    task = f"{job.job_id}.0.0.0"
    for _ in range(CUTS):
        machine.cut.add(find_run(machine, job).worker)
        free = [w for w in machine.world.workers if w not in machine.cut]
        # The answers of the next worker are lost from the start on.
        machine.lost_answers.update(free)
        machine.run(1.0)
        machine.lost_answers.clear()
        machine.run(LOST_S)
        machine.cut.clear()
        machine.run(3.0)
    machine.run(3.0)
    check_history(machine)
    assert get_code(machine, job) is None
    assert any(
        run.task == task and run.ended_s is None for run in machine.world.history
    )


@pytest.mark.parametrize("announced", [True, False], ids=["announced", "unannounced"])
def test_workers_that_leave_while_they_are_cut_off_do_not_end_a_job(announced):
    # They never answer again, but the platform's list shows that they lived on.
    machine, job = make_play(LONG_RUNNING)
    for _ in range(CUTS):
        worker = machine.world.workers[find_run(machine, job).worker]
        if not announced:
            machine.run(11.0)
            machine.world.leave(worker, machine.now_s, 2.0, announced=False)
            machine.run(1.0)
        machine.cut.add(worker.name)
        machine.run(2.0)
        if announced:
            machine.world.leave(worker, machine.now_s, 2.0, announced=True)
        machine.run(LOST_S)
        machine.cut.discard(worker.name)
        machine.world.start_replacement(worker)
        machine.run(2.0)
    machine.run(65.0)
    assert get_code(machine, job) is None
    assert find_run(machine, job)


def test_late_starts_after_a_loss_that_was_taken_back_do_not_end_a_job():
    # Two crashes and a cut made the next starts late ones; two of those that were
    # stopped for urgent work ended the job.
    machine, job = make_play(ONE)
    for _ in range(2):
        worker = machine.world.workers[find_run(machine, job).worker]
        machine.world.kill(worker, machine.now_s)
        worker.listed = False
        machine.world.start_replacement(worker)
        machine.run(2.0)
    worker = cut_off(machine, job)
    machine.cut.discard(worker)
    machine.run(2.0)
    assert get_task(machine, job).lost.count == 2
    state = machine.owner.scheduler.state
    for _ in range(3):
        phase, task = state.find(f"{job.job_id}.0.0.0")
        state.stop(phase, task, machine.now_s)
        machine.run(2.0)
    machine.run(32.0)
    assert get_code(machine, job) == Code.JOB_FINISHED


@pytest.mark.parametrize("back_s", [1.0, 12.0, 40.0, 90.0])
@pytest.mark.parametrize("owner_every_s", [1e9, 7.0], ids=["one-owner", "owners"])
def test_work_that_crashes_its_workers_behind_cuts_is_given_up(back_s, owner_every_s):
    # The other side: its workers are cut off, crash and come back late, in turns.
    job = make_job(1, ONE)
    machine = make_machine(12, (job,), work_s=30.0, lease_s=LEASE_S)
    world = machine.world
    world.crashes = lambda task: True
    rng = random.Random(0)
    machine.submit(job)
    next_change_s = machine.now_s + owner_every_s
    for _ in range(3000):
        machine.step()
        if machine.now_s >= next_change_s:
            machine.replace_owner()
            next_change_s += owner_every_s
        for worker in list(world.workers.values()):
            if worker.dead and world.find_at(worker.address) is None:
                worker.listed = machine.now_s < worker.dead_since_s + 4.5
                if machine.now_s > worker.dead_since_s + back_s:
                    world.start_replacement(worker)
        if rng.random() < 0.01:
            machine.cut = set(rng.sample(sorted(world.workers), 3))
        if rng.random() < 0.02:
            machine.cut = set()
    check_history(machine)
    check_given_up(machine)
    assert get_code(machine, job) == Code.JOB_FAILED


@pytest.mark.parametrize("restarts", [False, True], ids=["renamed", "same-name"])
@pytest.mark.parametrize("is_back", [False, True], ids=["back-later", "back-before"])
def test_the_next_owner_learns_that_a_lost_worker_crashed(restarts, is_back):
    # Otherwise it would take the answer of the next incarnation for the end of a cut.
    machine, job = make_play(LONG_RUNNING)
    worker = machine.world.workers[find_run(machine, job).worker]
    machine.world.kill(worker, machine.now_s)
    machine.run(LOST_S)
    assert get_task(machine, job).lost == LostWorkers(unsure=1)
    assert len(get_task(machine, job).unsettled) == 1
    machine.run(0.3)
    if not is_back:
        machine.replace_owner()
        machine.run(2.0)
    if restarts:
        machine.world.restart(worker, machine.now_s)
    else:
        worker.listed = False
        machine.world.start_replacement(worker)
    if is_back:
        machine.read_list()
        machine.replace_owner()
    machine.run(2.0)
    assert get_task(machine, job).lost == LostWorkers(crashes=1, blamed=1)
    assert get_task(machine, job).unsettled == ()


def test_losses_are_read_from_blocks_of_a_step():
    spec = StepSpec(count=40, accelerators=1)
    phase = PhaseId("1", 0, 0)
    first, second = (RecordedLoss(index, "w1", lost_ms=5) for index in (3, 20))
    tasks = (TaskProgress(),) * 16
    records = (
        PhaseProgress(phase, (TaskProgress(),) * 40, losses=(first, second)),
        BlockProgress(phase, 1, tasks),
        BlockProgress(phase, 0, tasks, losses=(first, second)),
    )
    stored = [StoredProgress(offset, record) for offset, record in enumerate(records)]
    assert combine_progress(spec, stored[:1]).losses == (first, second)
    assert combine_progress(spec, stored[:2]).losses == (first,)
    assert combine_progress(spec, stored).losses == (first,)


@pytest.mark.parametrize("crashing", [False, True], ids=["harmless", "crashing"])
@pytest.mark.parametrize("seed", range(CUT_SEEDS))
def test_no_promise_breaks_while_workers_are_cut_off_in_series(seed, crashing):
    machine, rng, waiting = create_play(seed, LEASE_S)
    if crashing:
        choose_crashing_tasks(machine, seed, waiting)
    injector = FaultInjector(machine, rng, 2.0)
    for job in waiting:
        machine.submit(job)
    for _ in range(CUTS):
        names = [w.name for w in machine.world.workers.values() if not w.dead]
        machine.cut = set(rng.sample(names, 2 * len(names) // 3))
        run_with_faults(machine, injector, rng.choice((7.0, 7.0, 20.0)))
        machine.cut = set()
        run_with_faults(machine, injector, rng.choice((0.7, 2.0)))
    injector.end()
    run_with_faults(machine, injector, RECOVERY_S)
    check_history(machine)
    check_outcomes(machine)
    check_given_up(machine)


def run_with_faults(
    machine: FleetMachine, injector: FaultInjector, seconds: float
) -> None:
    """Let time pass under random faults."""
    for _ in range(round(seconds / STEP_S)):
        injector.step()
        machine.step()
        check_running(machine)
