"""Test that no start is sent to a worker that has announced that it leaves.

Guards against starts that were decided before the announcement and sent, or sent again,
after it: they began up to 2.6 s after the list of workers had shown it, and were lost
with the worker.
"""

import pytest

from larkhoist.jobs.spec import StepSpec
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history

ONE = StepSpec(count=1, accelerators=1, estimate_ms=900)
GANG = StepSpec(count=2, accelerators=8, estimate_ms=900, gang=True)


@pytest.mark.parametrize("carried_out_late", [False, True], ids=["lost", "late"])
def test_a_start_without_an_answer_is_not_repeated_on_a_leaving_worker(
    carried_out_late,
):
    job = make_job(1, ONE)
    machine = make_machine(2, (job,), lease_s=6.0)
    machine.run(1.0)
    machine.order_delay_s["w0"] = 3.0 if carried_out_late else 1e9
    machine.submit(job)
    machine.run(0.2)
    worker = machine.world.workers["w0"]
    machine.world.leave(worker, machine.now_s, 10.0, announced=True)
    machine.order_delay_s.clear()
    machine.run(15.0)
    check_history(machine)
    begun = [run for run in machine.world.history if not run.late]
    assert [run.worker for run in begun] == ["w1"]
    assert machine.registry.get(job.job_id).outcome is not None


@pytest.mark.parametrize("step", [ONE, GANG], ids=["one", "gang"])
def test_a_start_that_waits_for_the_log_is_not_sent_to_a_leaving_worker(step):
    job = make_job(1, step)
    machine = make_machine(4, (job,), lease_s=6.0)
    machine.run(1.0)
    machine.log_down = True
    machine.submit(job)
    machine.run(0.3)
    state = machine.owner.scheduler.state
    leaving = state.find(f"{job.job_id}.0.0.0")[1].worker
    worker = machine.world.workers[leaving]
    machine.world.leave(worker, machine.now_s, 10.0, announced=True)
    machine.run(0.3)
    machine.log_down = False
    machine.run(15.0)
    check_history(machine)
    assert machine.world.history
    assert leaving not in {run.worker for run in machine.world.history}
    assert machine.registry.get(job.job_id).outcome is not None
