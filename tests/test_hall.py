"""Check individual decisions of the hall scheduler with simulated workers."""

from unittest.mock import patch

from larkhoist.log.objects import Cell, CustomerSpec, Guarantee, JobSpec
from larkhoist.log.state import JobState
from larkhoist.scheduling.hall import HallScheduler
from larkhoist.scheduling.hall_job import HallJob
from larkhoist.scheduling.policy import SchedulingPolicy
from larkhoist.scheduling.queue_order import get_queue_key
from tests.promises.hall_machine import HALL, HallMachine

LONG_RUN = "run_s=1000"


def make_machine(workers, **policy):
    machine = HallMachine(workers, policy=SchedulingPolicy(**policy))
    machine.add_owner("owner")
    machine.run(5.0)
    return machine


def get_state(machine, job_id):
    return machine.state.jobs[job_id].state


def test_urgent_job_leaves_other_urgent_work_and_takes_what_is_borrowed():
    machine = make_machine(2)
    machine.submit(JobSpec("first", "c", 1, 8, urgent=True, payload=LONG_RUN))
    machine.run(2.0)
    machine.submit(JobSpec("borrowed", "c", 1, 8, payload=LONG_RUN))
    machine.run(2.0)
    machine.submit(JobSpec("second", "c", 1, 8, urgent=True, payload=LONG_RUN))
    machine.run(6.0)
    assert get_state(machine, "first") is JobState.PLACED
    assert get_state(machine, "second") is JobState.PLACED
    assert get_state(machine, "borrowed") is JobState.CLAIMED


def test_asking_for_a_guarantee_that_one_does_not_hold_gives_no_precedence():
    claimed = HallJob(JobSpec("a", "c", 1, 1, guaranteed=True), 10.0)
    earlier = HallJob(JobSpec("b", "c", 1, 1), 0.0)
    assert get_queue_key(earlier, 20.0) < get_queue_key(claimed, 20.0)
    claimed.firm = True
    assert get_queue_key(claimed, 20.0) < get_queue_key(earlier, 20.0)


def test_two_claims_never_hold_the_same_accelerators():
    machine = make_machine(4)
    cells = (Cell(8, 2),)
    machine.put_customer(CustomerSpec("g", 1, (Guarantee(HALL, cells),)))
    for number in range(32):
        machine.submit(JobSpec(f"fill-{number}", "b", 1, 1, "worker", payload=LONG_RUN))
    machine.run(3.0)
    for name in ("one", "two"):
        machine.submit(JobSpec(name, "g", 1, 8, "worker", guaranteed=True))
    with patch.object(HallScheduler, "_keeps_guarantees", lambda *_: False):
        machine.run(1.0)
    jobs = machine.owners[0].scheduler.jobs
    held = [place for name in ("one", "two") for place in jobs[name].held]
    assert len(held) == 2
    assert len({place.worker for place in held}) == 2


def test_gang_that_waits_gets_workers_while_small_jobs_keep_coming():
    machine = make_machine(4, patience_s=5.0, drain_s=10.0)
    for number in range(60):
        machine.submit(JobSpec(f"s{number}", "b", 1, 1, "worker", payload="run_s=20"))
    machine.submit(JobSpec("gang", "b", 4, 8, "rack", payload="run_s=1"))
    for number in range(60, 120):
        machine.submit(JobSpec(f"s{number}", "b", 1, 1, "worker", payload="run_s=20"))
        machine.run(0.5)
    machine.run(10.0)
    assert get_state(machine, "gang") is JobState.ENDED


def test_wave_of_cancellations_ends_every_job_and_frees_everything():
    machine = make_machine(2)
    for number in range(40):
        machine.submit(JobSpec(f"j{number}", "b", 1, 1, "worker", payload=LONG_RUN))
    machine.run(3.0)
    for number in range(40):
        machine.cancel(f"j{number}")
    machine.run(4.0)
    assert {job.state for job in machine.state.jobs.values()} == {JobState.ENDED}
    assert machine.owners[0].scheduler.accelerators.free.free_total == 16


def test_reclaimed_job_that_was_checkpointed_runs_again():
    machine = make_machine(1)
    cells = (Cell(8, 1),)
    machine.put_customer(CustomerSpec("g", 1, (Guarantee(HALL, cells),)))
    machine.submit(JobSpec("b", "b", 1, 8, "worker", payload="run_s=5"))
    machine.run(3.0)
    machine.submit(
        JobSpec("claim", "g", 1, 8, "worker", guaranteed=True, payload="run_s=2")
    )
    machine.run(3.0)
    assert get_state(machine, "claim") is JobState.PLACED
    machine.run(20.0)
    assert get_state(machine, "b") is JobState.ENDED
    assert machine.state.jobs["b"].attempt == 2
