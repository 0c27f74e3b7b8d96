"""Test that work starts on the remaining workers after others have left for good.

Limits, shares and estimates that suit the whole fleet must not keep work waiting while
the remaining workers have free room for it twice.
"""

from collections.abc import Iterable

import pytest
from msgspec.structs import replace

from larkhoist.fleet.task import ActiveJob, Task
from larkhoist.fleet.victim import Victim, iter_victims
from larkhoist.jobs.spec import StagedJob, StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history
from tests.fleet.machine import FleetMachine
from tests.fleet.progress import CalmPeriodCheck
from tests.fleet.test_reservations import get_reserved_workers

LONGEST_WAIT_S = 3.0
"""Work for which there is enough room must start within this time."""
STABLE_S = 4.0
"""The limit on waiting applies once the fleet has been stable for this time."""
GUARANTEED_START_S = 3.4
"""Guaranteed work must start within this time after its acceptance."""
WORK_S = 60.0
SHORT_WORK_S = 6.0
ONE = StepSpec(count=1, accelerators=1)
FULL_WORKER = StepSpec(count=1, accelerators=8)


def announce_leaving(
    machine: FleetMachine, names: Iterable[str], extra_s: float = 0.0
) -> None:
    """Make workers announce that they leave; ``extra_s`` prolongs their notice time."""
    for name in names:
        worker = machine.world.workers[name]
        machine.world.leave(worker, machine.now_s, extra_s, announced=True)


def name_workers(first: int, end: int) -> list[str]:
    return [f"w{number}" for number in range(first, end)]


def fill(machine: FleetMachine, job: StagedJob) -> None:
    """Submit a load and check that all of its tasks run."""
    machine.submit(job)
    machine.run(1.0)
    assert count_running(machine, job) == job.steps[0].count


def count_running(machine: FleetMachine, job: StagedJob) -> int:
    runs = (run for w in machine.world.workers.values() for run in w.runs.values())
    return sum(run.task.startswith(job.job_id) for run in runs)


def measure_wait_s(machine: FleetMachine, job: StagedJob) -> float:
    """Submit a job and return how long it waits for its first run."""
    machine.submit(job)
    since_s = machine.now_s
    machine.run(LONGEST_WAIT_S + 1.0)
    began = [r.began_s for r in machine.world.history if r.task.startswith(job.job_id)]
    return min(began, default=float("inf")) - since_s


def quarantine(machine: FleetMachine, names: Iterable[str]) -> None:
    tracker = machine.owner.scheduler.state.quarantine
    for name in names:
        for failed in ("a", "b", "b"):
            tracker.note_failure(name, failed, 100, machine.now_s)


def test_a_step_that_prefers_racks_does_not_hold_up_a_step_without_preference():
    load = make_job(1, StepSpec(count=4, accelerators=8, data_rack="r0"))
    first = make_job(2, StepSpec(count=12, accelerators=1, same_rack=True))
    job = make_job(3, ONE)
    machine = make_machine(8, (load, first, job), work_s=WORK_S)
    machine.run(1.0)
    announce_leaving(machine, name_workers(5, 8))
    machine.run(5.0)
    fill(machine, load)
    machine.submit(first)
    assert measure_wait_s(machine, job) <= 0.5


@pytest.mark.parametrize("left", [3, 5, 7])
def test_quarantined_workers_are_used_when_the_rest_of_the_fleet_is_full(left):
    load = make_job(1, StepSpec(count=left - 1, accelerators=8))
    job = make_job(2, ONE)
    machine = make_machine(12, (load, job), work_s=WORK_S)
    machine.run(1.0)
    announce_leaving(machine, name_workers(left, 12))
    machine.run(5.0)
    quarantine(machine, ["w0"])
    fill(machine, load)
    machine.run(STABLE_S + LONGEST_WAIT_S)
    assert measure_wait_s(machine, job) <= LONGEST_WAIT_S


@pytest.mark.parametrize("free", [1, 4])
def test_reserved_workers_are_used_for_tasks_that_last_however_full_the_rest_is(free):
    job = make_job(4, replace(ONE, long_running=True))
    assert measure_wait_beside_reserved_s(free, job) <= LONGEST_WAIT_S


@pytest.mark.parametrize("free", [1, 4])
def test_reserved_workers_are_used_where_processors_are_idle_and_the_rest_is_full(free):
    job = make_job(4, replace(ONE, cpu_milli=100))
    assert measure_wait_beside_reserved_s(free, job) <= LONGEST_WAIT_S


@pytest.mark.parametrize("free", [1, 4])
def test_reserved_workers_are_used_when_the_rest_of_the_fleet_is_full(free):
    assert measure_wait_beside_reserved_s(free, make_job(4, ONE)) <= LONGEST_WAIT_S


@pytest.mark.parametrize("free", [1, 4])
def test_no_work_stands_still_by_the_rule_for_calm_times_beside_reserved_workers(free):
    job = make_job(4, replace(ONE, cpu_milli=4000))
    machine = make_machine_with_reservation(free, job)
    machine.submit(job)
    stall_check = CalmPeriodCheck()
    until_s = machine.now_s + STABLE_S + 2 * LONGEST_WAIT_S
    while machine.now_s < until_s:
        machine.step()
        stall_check.look(machine)
    assert stall_check.stills.found == {}


def measure_wait_beside_reserved_s(free: int, job: StagedJob) -> float:
    """Return how long a job waits where all workers with room are reserved."""
    return measure_wait_s(make_machine_with_reservation(free, job), job)


def make_machine_with_reservation(free: int, job: StagedJob) -> FleetMachine:
    """Return a machine on which all workers with room are reserved for a gang.

    On each of the two reserved workers ``free`` accelerators are idle. The loads use
    no processor time.
    """
    step = StepSpec(20, accelerators=8 - free, estimate_ms=60_000, spread_limit=1)
    load = make_job(1, replace(step, checkpoints=True))
    full = replace(step, count=6, accelerators=free, checkpoints=True)
    rest = make_job(2, full)
    wide = StepSpec(2, accelerators=8, estimate_ms=60_000, gang=True, same_rack=True)
    gang = make_job(3, wide, target_ms=120_000)
    machine = make_machine(20, (load, rest, gang, job), work_s=WORK_S)
    machine.run(1.0)
    fill(machine, load)
    machine.submit(gang)
    machine.run(1.0)
    reserved = get_reserved_workers(machine, gang)
    assert len(reserved) == 2
    others = [name for name in name_workers(0, 20) if name not in reserved]
    announce_leaving(machine, others[:12])
    machine.run(5.0)
    fill(machine, rest)
    assert get_reserved_workers(machine, gang) == reserved
    return machine


def test_tasks_that_last_leave_the_rack_of_their_data_however_full_the_rest_is():
    load = make_job(1, StepSpec(count=4, accelerators=8, data_rack="r0"))
    other_load = make_job(2, StepSpec(count=4, accelerators=8, data_rack="r1"))
    step = StepSpec(1, accelerators=1, data_rack="r0", long_running=True)
    job = make_job(3, step)
    machine = make_machine(12, (load, other_load, job), work_s=WORK_S)
    machine.run(1.0)
    fill(machine, load)
    fill(machine, other_load)
    assert measure_wait_s(machine, job) <= LONGEST_WAIT_S


def test_full_workers_that_leave_do_not_count_as_used_room():
    machine, job = make_partly_full_machine()
    announce_leaving(machine, name_workers(0, 4), 40.0)
    machine.run(1.0)
    assert measure_wait_s(machine, job) <= LONGEST_WAIT_S


def test_a_full_hall_that_is_cordoned_does_not_count_as_used_room():
    machine, job = make_partly_full_machine()
    machine.cordoned = frozenset({"h0"})
    machine.run(1.0)
    assert measure_wait_s(machine, job) <= LONGEST_WAIT_S


def make_partly_full_machine() -> tuple[FleetMachine, StagedJob]:
    """Return a machine with two full racks and an idle one, and a job.

    The job's data is in the second rack. The first rack is a data hall of its own.
    """
    load = make_job(1, StepSpec(count=4, accelerators=8, data_rack="r0"))
    other_load = make_job(2, StepSpec(count=3, accelerators=8, data_rack="r1"))
    job = make_job(3, StepSpec(count=1, accelerators=1, data_rack="r1"))
    machine = make_machine(12, (load, other_load, job), work_s=WORK_S)
    for name in name_workers(0, 4):
        machine.world.workers[name].hall = "h0"
    machine.step()
    machine.replace_owner()
    machine.run(1.0)
    announce_leaving(machine, ["w7"])
    machine.run(5.0)
    fill(machine, load)
    fill(machine, other_load)
    return machine, job


@pytest.mark.parametrize("checkpoints", [False, True])
def test_guarantees_beyond_what_is_left_hold_nothing_up(checkpoints):
    load = make_job(1, StepSpec(count=6, accelerators=4, checkpoints=True))
    job = make_job(2, StepSpec(count=6, accelerators=1, checkpoints=checkpoints))
    guarantees = {"bob": 70, "eve": 70}
    machine = make_machine(24, (load, job), guarantees, work_s=WORK_S)
    machine.run(1.0)
    announce_leaving(machine, name_workers(6, 24))
    machine.run(5.0)
    fill(machine, load)
    assert measure_wait_s(machine, job) <= LONGEST_WAIT_S


def test_a_past_peak_of_urgent_work_beyond_what_is_left_holds_nothing_up():
    urgent = make_job(1, StepSpec(count=100, accelerators=1), priority=0)
    load = make_job(2, StepSpec(count=5, accelerators=8))
    job = make_job(3, ONE)
    machine = make_machine(24, (urgent, load, job), work_s=WORK_S)
    machine.world.work_s_of = lambda t: 2.0 if t.startswith(urgent.job_id) else WORK_S
    machine.submit(urgent)
    machine.run(3.0)
    announce_leaving(machine, name_workers(6, 24))
    machine.run(4.0)
    machine.submit(load)
    machine.run(5.0)
    assert count_running(machine, load) == 5
    assert measure_wait_s(machine, job) <= LONGEST_WAIT_S


@pytest.mark.parametrize("left", [2, 3, 6])
def test_a_gang_starts_where_every_other_worker_failed_it(left):
    failed = set()

    def fails(task: str, worker: str) -> bool:
        is_first = task.startswith(job.job_id) and worker not in failed
        failed.add(worker)
        return is_first

    job = make_job(
        1, StepSpec(left, accelerators=1, gang=True, spread_limit=1), max_attempts=40
    )
    machine = make_machine(8, (job,), work_s=0.5, fails=fails)
    machine.run(1.0)
    announce_leaving(machine, name_workers(left, 8))
    machine.run(5.0)
    assert measure_wait_s(machine, job) <= LONGEST_WAIT_S
    machine.run(12.0)
    assert machine.registry.get(job.job_id).outcome is not None


def test_a_gang_with_a_spread_limit_starts_on_as_many_workers_as_are_left():
    load = make_job(1, StepSpec(count=4, accelerators=4, spread_limit=1))
    step = StepSpec(4, accelerators=2, gang=True, same_rack=True, spread_limit=1)
    job = make_job(2, step)
    machine = make_machine(12, (load, job), work_s=WORK_S)
    machine.run(1.0)
    announce_leaving(machine, name_workers(4, 12))
    machine.run(5.0)
    fill(machine, load)
    assert measure_wait_s(machine, job) <= LONGEST_WAIT_S


def test_a_plan_on_a_worker_that_leaves_is_made_anew():
    step = StepSpec(count=6, accelerators=8, checkpoints=True)
    load = make_job(1, step)
    job = make_job(2, StepSpec(2, accelerators=8, gang=True), priority=0)
    machine = make_machine(6, (load, job), {"ann": 16}, work_s=WORK_S)
    machine.run(1.0)
    fill(machine, load)
    machine.submit(job)
    machine.run(0.2)
    state = machine.owner.scheduler.state
    (phase,) = state.jobs[job.job_id].phases.values()
    assert phase.plan
    announce_leaving(machine, [min(phase.plan.values())])
    machine.run(LONGEST_WAIT_S)
    assert count_running(machine, job) == 2


def test_a_reservation_holds_as_many_workers_as_a_spread_limit_takes():
    step = StepSpec(20, accelerators=7, estimate_ms=20_000, spread_limit=1)
    load = make_job(1, step)
    wide = StepSpec(2, accelerators=4, estimate_ms=2000, gang=True, spread_limit=1)
    gang = make_job(2, wide, target_ms=60_000)
    machine = make_machine(20, (load, gang), work_s=WORK_S)
    fill(machine, load)
    machine.submit(gang)
    machine.run(1.0)
    assert len(get_reserved_workers(machine, gang)) == 2


def test_no_worker_is_reserved_that_tasks_that_last_never_leave():
    step = StepSpec(8, accelerators=6, estimate_ms=20_000, spread_limit=1)
    long_running_job = make_job(1, StepSpec(1, accelerators=1, long_running=True))
    load = make_job(2, replace(step, checkpoints=True))
    gang = make_job(3, StepSpec(1, accelerators=8, estimate_ms=2000, gang=True))
    machine = make_machine(8, (long_running_job, load, gang), work_s=WORK_S)
    fill(machine, long_running_job)
    (run,) = machine.world.history
    fill(machine, load)
    machine.submit(gang)
    machine.run(1.0)
    reserved = get_reserved_workers(machine, gang)
    assert reserved
    assert run.worker not in reserved


def test_workers_are_reserved_beside_tasks_that_last_on_all_of_them():
    step = StepSpec(8, accelerators=5, estimate_ms=20_000, spread_limit=1)
    long_running_job = make_job(
        1, StepSpec(8, accelerators=1, long_running=True, spread_limit=1)
    )
    load = make_job(2, replace(step, checkpoints=True))
    gang = make_job(3, StepSpec(1, accelerators=7, estimate_ms=2000, gang=True))
    machine = make_machine(8, (long_running_job, load, gang), work_s=WORK_S)
    fill(machine, long_running_job)
    fill(machine, load)
    machine.submit(gang)
    machine.run(1.0)
    assert get_reserved_workers(machine, gang)


@pytest.mark.parametrize("tasks", [1, 2])
def test_guaranteed_work_begins_in_time_where_guarantees_exceed_what_is_left(tasks):
    machine, first, job = make_overcommitted_machine(tasks)
    machine.submit(job)
    machine.run(GUARANTEED_START_S)
    assert count_running(machine, job) == tasks
    machine.run(2 * SHORT_WORK_S)
    # The stopped gang starts again without stopping the other job in turn.
    assert count_runs(machine, job) == tasks
    assert count_runs(machine, first) == 2 * first.steps[0].count
    check_history(machine)


def test_guaranteed_work_was_stopped_for_each_new_job_of_another_customer():
    first = make_job(1, StepSpec(4, accelerators=8, gang=True), priority=0)
    later = [
        make_job(
            number,
            StepSpec(2, accelerators=8, gang=True),
            priority=0,
            customer="bob",
        )
        for number in range(2, 10)
    ]
    guarantees = {"ann": 32, "bob": 16}
    machine = make_machine(4, (first, *later), guarantees, work_s=SHORT_WORK_S)
    fill(machine, first)
    for job in later:
        machine.submit(job)
        machine.run(5.0)
    assert count_runs(machine, first) == 2 * first.steps[0].count
    check_history(machine)


def test_guaranteed_work_that_ends_soon_is_not_stopped_for_other_such_work():
    machine, first, job = make_overcommitted_machine(2)
    machine.run(SHORT_WORK_S - 2.0)
    machine.submit(job)
    machine.run(GUARANTEED_START_S)
    assert count_running(machine, job) == 2
    assert count_runs(machine, first) == first.steps[0].count


def make_overcommitted_machine(tasks: int) -> tuple[FleetMachine, StagedJob, StagedJob]:
    """Return a machine, a guaranteed gang that fills it, and another customer's job.

    The guarantees of the two customers exceed the workers that are left.
    """
    first = make_job(1, StepSpec(4, accelerators=8, gang=True), priority=0)
    job = make_job(
        2, StepSpec(tasks, accelerators=8, gang=True), priority=0, customer="bob"
    )
    guarantees = {"ann": 32, "bob": 16}
    machine = make_machine(8, (first, job), guarantees, work_s=SHORT_WORK_S)
    machine.run(1.0)
    announce_leaving(machine, name_workers(4, 8))
    machine.run(5.0)
    fill(machine, first)
    return machine, first, job


def count_runs(machine: FleetMachine, job: StagedJob) -> int:
    return sum(run.task.startswith(job.job_id) for run in machine.world.history)


@pytest.mark.parametrize("refused_s", [0.5, 20.0])
def test_guaranteed_work_whose_first_start_was_refused_begins_in_time(refused_s):
    first = make_job(1, StepSpec(4, accelerators=8, gang=True), priority=0)
    job = make_job(
        2, StepSpec(2, accelerators=8, gang=True), priority=0, customer="bob"
    )
    machine = make_machine(6, (first, job), {"ann": 32, "bob": 16}, work_s=WORK_S)
    fill(machine, first)
    for name in {"w0", "w1", "w2", "w3", "w4", "w5"} - get_busy_workers(machine):
        machine.world.workers[name].refusing_until_s = machine.now_s + refused_s
    machine.submit(job)
    machine.run(GUARANTEED_START_S)
    assert count_running(machine, job) == 2


def get_busy_workers(machine: FleetMachine) -> set[str]:
    return {worker.name for worker in machine.world.workers.values() if worker.runs}


def test_guaranteed_work_is_not_stopped_before_it_has_begun():
    job = make_job(1, FULL_WORKER, priority=0)
    machine = make_machine(2, (job,), {"ann": 16}, work_s=WORK_S)
    machine.run(1.0)
    machine.submit(job)
    while not list_tasks(machine, job):
        machine.step()
    assert count_running(machine, job) == 0
    assert not list_victims(machine)
    machine.run(1.0)
    assert count_running(machine, job) == 1
    assert list_victims(machine)


def list_tasks(machine: FleetMachine, job: StagedJob) -> list[Task]:
    """Return the tasks of a job that are assigned to a worker."""
    active = machine.owner.scheduler.state.jobs.get(job.job_id)
    phases = active.phases.values() if active is not None else ()
    return [task for phase in phases for task in phase.tasks if task.is_on_worker]


def list_victims(machine: FleetMachine) -> list[Victim]:
    state = machine.owner.scheduler.state
    claimant = ActiveJob(make_job(2, FULL_WORKER, priority=0, customer="bob"), 0.0)
    return list(iter_victims(state, machine.now_s, claimant))
