"""Test the reservation of workers for waiting gangs."""

from msgspec.structs import replace

from larkhoist.jobs.spec import StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history, check_outcomes

WIDE = StepSpec(count=2, accelerators=8, estimate_ms=2000, gang=True, same_rack=True)


def get_reserved_workers(machine, job) -> frozenset[str]:
    reservations = machine.owner.scheduler.state.reservations
    for phase in machine.owner.scheduler.state.jobs[job.job_id].phases.values():
        reserved = reservations.get(phase.id)
        return reserved.workers if reserved is not None else frozenset()
    return frozenset()


def make_full_machine(work_s=4.0):
    """Return a machine that is full of small tasks, more such jobs, and a gang."""
    step = StepSpec(count=1, accelerators=1, estimate_ms=4000, checkpoints=True)
    small = [make_job(n, step) for n in range(300)]
    wide = make_job(900, WIDE, target_ms=60_000)
    machine = make_machine(20, (*small, wide), work_s=work_s)
    for job in small[:160]:
        machine.submit(job)
        machine.run(0.1 if job.job_id.endswith("f") else 0.0)
    machine.run(1)
    return machine, small[160:], wide


def make_fragmented_machine(count=1):
    """Return a machine with little room on each worker, and gangs not yet submitted."""
    step = StepSpec(20, accelerators=7, estimate_ms=20_000, spread_limit=1)
    filler = make_job(1, replace(step, checkpoints=True))
    gangs = [make_job(900 + n, WIDE, target_ms=60_000) for n in range(count)]
    machine = make_machine(20, (filler, *gangs), work_s=20.0)
    machine.submit(filler)
    machine.run(1)
    return machine, gangs


def test_a_gang_finds_room_beside_a_stream_of_small_tasks():
    machine, later_jobs, wide = make_full_machine()
    machine.submit(wide)
    for job in later_jobs:
        machine.submit(job)
        machine.run(0.1)
    began = [r for r in machine.world.history if r.task.startswith(wide.job_id)]
    assert len(began) == 2
    check_history(machine)
    machine.run(30)
    check_outcomes(machine)


def test_reserved_workers_stay_the_same_and_take_nothing_else():
    machine, (gang,) = make_fragmented_machine()
    machine.submit(gang)
    machine.run(1)
    first = get_reserved_workers(machine, gang)
    assert len(first) == 2
    one = StepSpec(18, accelerators=1, estimate_ms=9000, checkpoints=True)
    small = make_job(2, one)
    machine.world._need_of = lambda _: one.need
    machine.submit(small)
    machine.run(2)
    assert get_reserved_workers(machine, gang) == first
    used = {r.worker for r in machine.world.history if r.task.startswith(small.job_id)}
    assert used
    assert not used & first


def test_a_gang_with_workers_of_its_own_is_not_held_up_by_one_without():
    machine, gangs = make_fragmented_machine(2)
    for job in gangs:
        machine.submit(job)
    machine.run(1)
    state = machine.owner.scheduler.state
    # Only one of them has reserved workers; make it rank behind the other.
    (second,) = (job for job in gangs if get_reserved_workers(machine, job))
    reserved = get_reserved_workers(machine, second)
    (first,) = (job for job in gangs if job is not second)
    state.jobs[first.job_id].phases[(0, 0)].due_s -= 1
    for name in reserved:
        for phase, task in state.list_tasks_on(state.workers[name]):
            state.stop(phase, task, machine.now_s)
    machine.run(1.5)
    began = {r.task.partition(".")[0] for r in machine.world.history}
    assert second.job_id in began


def test_a_reservation_ends_with_its_job():
    machine, (gang,) = make_fragmented_machine()
    machine.submit(gang)
    machine.run(1)
    assert get_reserved_workers(machine, gang)
    machine.cancel(gang.job_id)
    machine.run(1)
    assert not len(machine.owner.scheduler.state.reservations)


def test_no_more_than_a_share_of_the_workers_is_reserved():
    machine, gangs = make_fragmented_machine(5)
    for job in gangs:
        machine.submit(job)
    machine.run(2)
    reservations = machine.owner.scheduler.state.reservations
    share = machine.owner.scheduler.state.policy.reserved_share
    assert 0 < len(reservations) <= share * 20


def test_reserved_workers_stay_closed_to_what_has_waited_for_long():
    # Processor and memory are idle but accelerators are not, so no reserved worker is
    # released.
    machine, (gang,) = make_fragmented_machine()
    machine.submit(gang)
    machine.run(1)
    reserved = get_reserved_workers(machine, gang)
    one = StepSpec(20, cpu_milli=100, memory_mb=100, accelerators=1, estimate_ms=900)
    narrow = make_job(2, one)
    machine.world._need_of = lambda _: one.need
    machine.submit(narrow)
    machine.run(6)
    assert reserved
    assert get_reserved_workers(machine, gang) == reserved
    used = {r.worker for r in machine.world.history if r.task.startswith(narrow.job_id)}
    assert used
    assert not used & reserved


def test_a_gang_reserves_as_many_workers_as_its_spread_limit_needs():
    # Guards against reserving one worker for a gang of three, although the spread limit
    # allows only one member there.
    filler = make_job(1, StepSpec(20, accelerators=7, estimate_ms=20_000))
    spec = StepSpec(2, accelerators=2, estimate_ms=2000, gang=True, spread_limit=1)
    gang = make_job(2, spec, target_ms=60_000)
    machine = make_machine(20, (filler, gang), work_s=20.0)
    machine.submit(filler)
    machine.run(1)
    machine.submit(gang)
    machine.run(1)
    assert len(get_reserved_workers(machine, gang)) == 2


def test_a_worker_is_kept_no_longer_once_a_task_that_lasts_has_taken_its_room():
    step = StepSpec(20, accelerators=4, estimate_ms=60_000, spread_limit=1)
    load = make_job(1, step)
    rest = make_job(2, replace(step, count=2, label="r0"))
    long_running_job = make_job(
        3, StepSpec(1, accelerators=1, label="r0", long_running=True)
    )
    gang = make_job(900, WIDE, target_ms=200_000)
    machine = make_machine(20, (load, rest, long_running_job, gang), work_s=60.0)
    for job in (load, gang, rest):
        machine.submit(job)
        machine.run(1)
    reserved = get_reserved_workers(machine, gang)
    assert len(reserved) == 2
    machine.submit(long_running_job)
    machine.run(4)
    (run,) = [
        r for r in machine.world.history if r.task.startswith(long_running_job.job_id)
    ]
    assert run.worker in reserved
    renewed = get_reserved_workers(machine, gang)
    assert len(renewed) == 2
    assert run.worker not in renewed
