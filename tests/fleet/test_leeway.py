"""Test which placement preferences a waiting phase may ignore, and which not."""

import pytest
from msgspec.structs import replace

from larkhoist.codes import Code
from larkhoist.fleet.proofs import EndListed, StartRefused
from larkhoist.fleet.task import Phase
from larkhoist.jobs.registry import StagedJobEntry
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.task_worker import EndKind
from tests.fleet.cases import make_job, make_machine
from tests.fleet.machine import FleetMachine
from tests.fleet.progress import run_and_find_stalls

NARROW = StepSpec(count=1, cpu_milli=2800, memory_mb=4000, accelerators=1)
HEAVY = StepSpec(
    count=12, cpu_milli=13_000, memory_mb=26_000, accelerators=1, checkpoints=True
)
"""Two of its tasks take most of a worker's processor and memory, few accelerators."""
FULL_WORKER = StepSpec(count=1, cpu_milli=2800, memory_mb=4000, accelerators=8)


def get_phase(machine: FleetMachine, job) -> Phase:
    return machine.owner.scheduler.state.jobs[job.job_id].phases[(0, 0)]


def list_start_times_s(machine: FleetMachine, job) -> list[float]:
    return [
        round(run.began_s - 100, 1)
        for run in machine.world.history
        if run.task.startswith(job.job_id)
    ]


def test_a_failure_of_one_task_does_not_begin_the_wait_of_others_anew():
    spec = StepSpec(count=2, accelerators=8, cpu_milli=2800, memory_mb=4000)
    job = make_job(1, spec, max_attempts=99)
    machine = make_machine(1, (job,), work_s=0.6, fails=lambda task, worker: True)
    machine.submit(job)
    machine.run(0.4)
    phase = get_phase(machine, job)
    started_s = phase.unserved_since_s
    [running] = [task for task in phase.tasks if task.is_on_worker]
    scheduler = machine.owner.scheduler
    proof = EndListed(EndKind.FAILED)
    scheduler.state.release(phase, running, proof, machine.now_s)
    assert phase.unserved_since_s == started_s < machine.now_s


def test_starts_that_are_refused_do_not_begin_a_wait_anew():
    # All workers in the rack of the job's data refuse; all others are idle.
    rack_preferring = StepSpec(count=1, accelerators=1, cpu_milli=2800, data_rack="r0")
    job = make_job(1, rack_preferring)
    machine = make_machine(8, (job,), work_s=1.0)
    refuse = machine.world._refuse

    def refuse_in_data_rack(worker, order, clock_ms):
        if worker.rack == "r0":
            return Code.WORKER_FULL
        return refuse(worker, order, clock_ms)

    machine.world._refuse = refuse_in_data_rack
    machine.submit(job)
    assert run_and_find_stalls(machine, 6.0).found == {}
    assert list_start_times_s(machine, job)


def test_a_last_attempt_is_not_spent_on_workers_in_quarantine():
    load = make_job(1, StepSpec(count=6, accelerators=1, spread_limit=1))
    job = make_job(2, FULL_WORKER, max_attempts=1)
    machine = make_machine(
        8, (load, job), work_s=8.0, fails=lambda task, worker: worker in ("w6", "w7")
    )
    machine.run(1.0)
    quarantine = machine.owner.scheduler.state.quarantine
    machine.submit(load)
    machine.run(6.0)
    for name in ("w6", "w7"):
        for failed in ("a", "b", "b"):
            quarantine.note_failure(name, failed, 8, machine.now_s)
    machine.submit(job)
    machine.run(5.0)
    begun = [run for run in machine.world.history if run.task.startswith(job.job_id)]
    assert [run.worker for run in begun if run.worker in ("w6", "w7")] == []
    assert begun


def test_every_lasting_task_gets_its_turn_beside_others_that_end():
    long_running_step = StepSpec(
        count=4, cpu_milli=2800, memory_mb=4000, accelerators=4, long_running=True
    )
    load, job = make_job(1, HEAVY), make_job(2, long_running_step)
    # The guarantees leave 8 accelerators, which is room for two of the job's tasks.
    guarantees = {"ann": 24, "bob": 16}
    machine = make_machine(6, (load, job), guarantees, work_s=1.5)
    machine.world.work_s_of = lambda task: 90.0 if task.startswith(load.job_id) else 1.5
    machine.submit(load)
    machine.run(1.0)
    machine.submit(job)
    machine.run(30.0)
    runs = [r.task for r in machine.world.history if r.task.startswith(job.job_id)]
    assert {f"{job.job_id}.0.0.{index}" for index in range(4)} <= set(runs)
    assert max(map(runs.count, set(runs))) <= 2 * min(map(runs.count, set(runs)))


@pytest.mark.parametrize("taken", [1, 8])
def test_racks_are_left_only_where_half_of_everything_is_idle(taken):
    # One worker of the first rack is empty, and so is the only worker of the second.
    load_step = StepSpec(
        count=3, cpu_milli=100, memory_mb=100, accelerators=taken, spread_limit=1
    )
    gang = StepSpec(
        count=2,
        cpu_milli=2800,
        memory_mb=4000,
        accelerators=8,
        gang=True,
        same_rack=True,
    )
    load, job = make_job(1, load_step), make_job(2, gang)
    machine = make_machine(5, (load, job), work_s=30.0)
    machine.submit(load)
    machine.run(1.0)
    machine.submit(job)
    machine.run(5.0)
    assert bool(list_start_times_s(machine, job)) is (taken == 1)


def test_a_gang_stood_still_for_its_rack_where_exactly_half_was_used():
    # Half of the workers are full, two in each rack. The others have room for the gang
    # twice.
    load = make_job(1, replace(FULL_WORKER, count=6))
    gang = make_job(2, replace(FULL_WORKER, count=3, gang=True, same_rack=True))
    machine = make_machine(12, (load, gang), work_s=30.0)
    for number, worker in enumerate(machine.world.workers.values()):
        worker.rack = f"r{number % 3}"
    machine.submit(load)
    machine.run(1.0)
    machine.submit(gang)
    assert run_and_find_stalls(machine, 6.0).found == {}
    assert list_start_times_s(machine, gang)


@pytest.mark.parametrize(
    ("full", "spec", "latest_s"),
    [
        (11, replace(FULL_WORKER, data_rack="r0", estimate_ms=2000), 4.5),
        (
            11,
            replace(FULL_WORKER, data_rack="r0", estimate_ms=9000, long_running=True),
            3.0,
        ),
        (
            8,
            replace(FULL_WORKER, count=3, gang=True, same_rack=True, estimate_ms=2000),
            4.5,
        ),
    ],
)
def test_work_stood_still_for_a_rack_beside_room_twice_over(full, spec, latest_s):
    # More than half of the room is used. Rack r0 is full, or no rack has room for the
    # whole gang.
    load, job = make_job(1, replace(FULL_WORKER, count=full)), make_job(2, spec)
    machine = make_machine(15, (load, job), work_s=30.0)
    for number, worker in enumerate(machine.world.workers.values()):
        worker.rack = f"r{number % 5}"
    machine.submit(load)
    machine.run(1.0)
    machine.submit(job)
    machine.run(1.0)
    assert not list_start_times_s(machine, job)
    machine.run(latest_s - 1.0)
    assert list_start_times_s(machine, job)


def test_work_stood_still_beside_like_work_that_waits_for_a_rack():
    # Only the rack of four workers could hold both tasks, and it is full.
    load = make_job(1, replace(FULL_WORKER, count=4))
    rack_preferring = make_job(2, replace(FULL_WORKER, count=2, same_rack=True))
    job = make_job(3, FULL_WORKER)
    machine = make_machine(5, (load, rack_preferring, job), work_s=30.0)
    machine.submit(load)
    machine.run(1.0)
    machine.submit(rack_preferring)
    machine.submit(job)
    machine.run(4.0)
    assert list_start_times_s(machine, job)


def test_what_is_reserved_for_a_gang_is_not_taken_by_narrow_work():
    # Such tasks fill the accelerators but use no more than half of the memory.
    narrow = replace(NARROW, count=120)
    load = make_job(1, narrow)
    gang_job = make_job(2, replace(FULL_WORKER, gang=True), priority=1)
    machine = make_machine(8, (load, gang_job), {}, work_s=2.0)
    machine.submit(load)
    machine.run(1.0)
    machine.submit(gang_job)
    machine.run(8.0)
    assert list_start_times_s(machine, gang_job)


def test_one_task_is_let_in_where_more_than_half_is_used_and_it_fits_twice():
    # No resource is half idle. All accelerators are guaranteed, but no guaranteed work
    # waits for them.
    load = make_job(1, replace(HEAVY, accelerators=5, count=6, cpu_milli=20_000))
    job = make_job(2, replace(NARROW, count=5, memory_mb=0, cpu_milli=0))
    guarantees = {"ann": 24, "bob": 24}
    machine = make_machine(6, (load, job), guarantees, work_s=30.0)
    machine.submit(load)
    machine.run(1.0)
    machine.submit(job)
    machine.run(3.0)
    assert len(list_start_times_s(machine, job)) == 1
    machine.run(6.0)
    assert 2 <= len(list_start_times_s(machine, job)) < 5


def test_a_step_begins_to_wait_when_its_turn_comes():
    first = replace(NARROW, estimate_ms=500)
    job = make_job(1, first, replace(NARROW, depends_on=(0,), accelerators=9))
    machine = make_machine(2, (job,), work_s=4.0)
    machine.submit(job)
    machine.run(3.0)
    second = machine.owner.scheduler.state.jobs[job.job_id].phases[(0, 1)]
    while not get_phase(machine, job).is_done:
        machine.step()
    assert second.unserved_since_s >= machine.now_s - 0.2


def test_two_starts_on_their_way_give_the_whole_wait_back():
    # Guards against counting a step's wait from its first start when a second start
    # follows: after both were refused, a wait of 10 s counted as 0.6 s.
    job = make_job(1, StepSpec(count=2, accelerators=1, cpu_milli=1000))
    machine = make_machine(2, (job,))
    machine.run(1.0)
    state = machine.owner.scheduler.state
    entry = StagedJobEntry(job=job)
    machine.owner.scheduler.add_job(entry, machine.now_s, machine.now_ms)
    (phase,) = state.jobs[job.job_id].phases.values()
    since_s = phase.unserved_since_s = machine.now_s - 10.0
    state.assign(phase, {0: "w0"}, machine.now_s)
    state.assign(phase, {1: "w1"}, machine.now_s + 0.4)
    progress = phase.make_progress(machine.now_s + 0.4, machine.now_ms + 400)
    assert progress.since_ms == pytest.approx(machine.now_ms - 10_000, abs=2)
    for task in phase.tasks:
        refused = StartRefused(Code.WORKER_FULL)
        state.release(phase, task, refused, machine.now_s + 0.5)
    assert phase.unserved_since_s == since_s
