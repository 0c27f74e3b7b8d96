"""Test how owners pass on the ends of leases of silent workers."""

from larkhoist.fleet.silent_leases import (
    MIN_SILENCE_S,
    RECORD_INTERVAL_S,
    LeaseNote,
    SilentLeases,
)
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import Resources
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history
from tests.fleet.machine import PREDECESSOR_S, FleetMachine

ONE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, accelerators=1, estimate_ms=900)


def make_worker(lease_end_s: float, *, silent: bool = True) -> FleetWorker:
    worker = FleetWorker(
        "w0", "", "", "", frozenset(), Resources(), lease_end_s, silent=silent
    )
    worker.tasks.add("task")
    worker.silent_s = 0.0
    worker.heard_s = 0.0
    return worker


def test_a_silent_worker_gets_no_lease_until_the_log_has_its_answer():
    leases, worker = SilentLeases(), make_worker(10.0)
    assert leases.update([worker], MIN_SILENCE_S / 2) is None
    note = leases.update([worker], MIN_SILENCE_S)
    assert note.remaining_s == {"w0": 10.0 - MIN_SILENCE_S}
    assert leases.withholds("w0")
    worker.silent = False
    answered = leases.update([worker], MIN_SILENCE_S + 0.1)
    assert answered == LeaseNote({}, frozenset(["w0"]))
    assert leases.withholds("w0")
    assert leases.grant(answered) == ["w0"]
    assert not leases.withholds("w0")
    assert leases.update([worker], 9.0) is None


def test_a_worker_that_falls_silent_again_gets_no_lease_by_an_earlier_note():
    leases, worker = SilentLeases(), make_worker(10.0)
    leases.update([worker], MIN_SILENCE_S)
    worker.silent = False
    answered = leases.update([worker], MIN_SILENCE_S + 0.1)
    worker.silent = True
    assert leases.update([worker], MIN_SILENCE_S + 0.2).remaining_s
    assert leases.grant(answered) == []
    assert leases.withholds("w0")


def test_the_remaining_time_is_kept_again_and_again():
    # A new owner counts the remaining time from when it reads the record.
    leases, worker = SilentLeases(), make_worker(10.0)
    leases.update([worker], MIN_SILENCE_S)
    assert leases.update([worker], MIN_SILENCE_S + RECORD_INTERVAL_S / 2) is None
    note = leases.update([worker], MIN_SILENCE_S + RECORD_INTERVAL_S)
    assert note.remaining_s == {"w0": 10.0 - MIN_SILENCE_S - RECORD_INTERVAL_S}


def test_what_a_former_owner_kept_shortens_a_belief_and_never_lengthens_it():
    leases, worker = SilentLeases(), make_worker(10.0)
    leases.take_over({"w0": 20.0, "w1": 1.0}, {"w0": worker}, 0.0)
    assert worker.lease_end_s == 10.0
    leases.take_over({"w0": 3.0}, {"w0": worker}, 2.0)
    assert worker.lease_end_s == 5.0


def test_a_new_owner_grants_no_lease_that_the_log_says_is_withheld():
    # A third owner would rely on the record that the first one wrote.
    leases, worker = SilentLeases(), make_worker(10.0, silent=False)
    worker.heard_s = float("-inf")
    leases.take_over({"w0": 3.0}, {"w0": worker}, 0.0)
    assert leases.withholds("w0")
    assert leases.update([worker], 0.1).remaining_s == {"w0": 2.9}
    worker.heard_s = 0.2
    assert leases.update([worker], 0.3).granted == {"w0"}


def disconnect_for(machine: FleetMachine, name: str, seconds: float) -> None:
    machine.cut.add(name)
    machine.run(seconds)
    machine.cut.clear()


def test_work_outlasts_a_cut_of_its_worker_and_a_change_of_owner():
    job = make_job(1, ONE)
    machine = make_machine(2, (job,), work_s=20.0, cut_off_renewal_s=PREDECESSOR_S)
    machine.submit(job)
    machine.run(2)
    (run,) = machine.world.history
    disconnect_for(machine, run.worker, 4.0)
    assert "l" in machine.progress
    machine.replace_owner()
    machine.run(30)
    assert [run.kind for run in machine.world.history] == ["done"]
    assert machine.progress == {}
    check_history(machine)
