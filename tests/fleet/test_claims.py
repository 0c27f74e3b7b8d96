"""Check which work the scheduler stops when many urgent gangs arrive at once."""

from msgspec.structs import replace

from larkhoist.fleet.placement import VICTIM_SEARCHES_PER_PASS
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.task_worker import EndedTask, EndKind, RunningTask, WorkerReport
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history, check_outcomes

SMALL = StepSpec(count=8, accelerators=1, estimate_ms=20_000)
GANG = StepSpec(count=2, accelerators=4, estimate_ms=2000, gang=True)


def count_running(machine, job) -> int:
    return sum(
        run.ended_s is None
        for run in machine.world.history
        if run.task.startswith(job.job_id)
    )


def count_stopped(machine, job) -> int:
    return sum(
        run.kind is EndKind.STOPPED
        for run in machine.world.history
        if run.task.startswith(job.job_id)
    )


def test_claims_of_a_burst_are_spread_over_passes():
    count = 2 * VICTIM_SEARCHES_PER_PASS + 1
    fillers = [make_job(n, SMALL) for n in range(count)]
    gangs = [make_job(100 + n, GANG, priority=0) for n in range(count)]
    machine = make_machine(count, (*fillers, *gangs), work_s=20.0)
    for job in fillers:
        machine.submit(job)
    machine.run(1)
    scheduler = machine.owner.scheduler
    for job in gangs:
        machine.submit(job)
    claimed = []
    while not claimed or scheduler.has_more:
        decided = scheduler.decide(machine.now_s, machine.now_ms)
        notes = [note for note in decided.notes if note.event == "preempted"]
        claimed.append({note.fields["claimant"] for note in notes})
    assert [len(one) for one in claimed] == [
        VICTIM_SEARCHES_PER_PASS,
        VICTIM_SEARCHES_PER_PASS,
        1,
    ]


def test_a_guaranteed_gang_stops_borrowed_work_before_urgent_work():
    urgent = make_job(1, StepSpec(8, accelerators=1, estimate_ms=900), priority=0)
    borrowed = make_job(2, SMALL)
    gang = StepSpec(count=1, accelerators=8, estimate_ms=2000, gang=True)
    claims = make_job(3, gang, priority=0, customer="bob")
    jobs = (borrowed, urgent, claims)
    machine = make_machine(2, jobs, {"bob": 8}, work_s=20.0)
    machine.submit(borrowed)
    machine.run(3)
    machine.submit(urgent)
    machine.run(1)
    machine.submit(claims)
    machine.run(2)
    assert count_running(machine, claims) == 1
    assert count_stopped(machine, borrowed) == 8
    assert count_stopped(machine, urgent) == 0


def test_work_that_keeps_its_progress_is_stopped_before_younger_work():
    kept = make_job(1, StepSpec(8, accelerators=1, estimate_ms=900, checkpoints=True))
    young = make_job(2, SMALL)
    step = StepSpec(1, accelerators=8, estimate_ms=9000, gang=True)
    gang = make_job(3, step, priority=0, submitted_s=107.0)
    machine = make_machine(2, (kept, young, gang), work_s=20.0)
    machine.submit(kept)
    machine.run(5)
    machine.submit(young)
    machine.run(2)
    machine.submit(gang)
    machine.run(2)
    assert count_running(machine, gang) == 1
    assert count_stopped(machine, kept) == 8
    assert count_stopped(machine, young) == 0


def test_a_gang_that_runs_on_several_workers_is_stopped_as_one():
    wide = make_job(1, StepSpec(2, accelerators=8, estimate_ms=9000, gang=True))
    claims = [make_job(2 + n, GANG, priority=0) for n in range(2)]
    machine = make_machine(2, (wide, *claims), work_s=3.0)
    machine.submit(wide)
    machine.run(1)
    for job in claims:
        machine.submit(job)
    machine.run(12)
    check_history(machine)
    check_outcomes(machine)
    assert count_stopped(machine, wide) == 2


def test_members_of_a_gang_that_has_ended_are_not_stopped():
    job = make_job(1, StepSpec(2, accelerators=1, gang=True))
    machine = make_machine(1, (job,), work_s=20.0)
    machine.submit(job)
    machine.run(1)
    scheduler = machine.owner.scheduler
    first, second = (run for run in machine.world.history)
    done = EndedTask(1, first.task, first.attempt, EndKind.DONE, "")
    running = RunningTask(second.task, second.attempt, "", 100)
    report = WorkerReport(0, (running,), (done,))
    at_s = machine.now_s + 0.1
    scheduler.handle_report(first.worker, report, at_s, at_s, machine.now_ms)
    assert not scheduler.decide(at_s, machine.now_ms).stops


def test_a_claim_looks_beyond_the_racks_that_only_look_cheap():
    # In five racks accelerators can be freed at no cost, but no processors are free.
    cpu_heavy_jobs = [
        make_job(n, StepSpec(1, cpu_milli=31_000), priority=0, customer="bob")
        for n in range(5)
    ]
    cheap = make_job(10, StepSpec(40, accelerators=1, checkpoints=True))
    expensive = make_job(11, StepSpec(1, accelerators=8, estimate_ms=20_000))
    step = StepSpec(1, 10_000, accelerators=8, estimate_ms=9000, gang=True)
    gang = make_job(12, replace(step, same_rack=True), priority=0, submitted_s=105.0)
    jobs = (*cpu_heavy_jobs, cheap, expensive, gang)
    machine = make_machine(6, jobs, {"bob": 8}, work_s=30.0)
    machine.run(1)
    workers = machine.owner.scheduler.state.workers
    for number, worker in enumerate(workers.values()):
        worker.rack = f"r{number}"
    for job in jobs[:-1]:
        machine.submit(job)
        machine.run(1 if job is expensive else 0.5)
    machine.submit(gang)
    machine.run(3)
    assert count_running(machine, gang) == 1
