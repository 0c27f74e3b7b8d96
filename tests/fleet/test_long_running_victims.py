"""Test that long-running tasks give borrowed room back to guaranteed work."""

from collections import Counter

import pytest

from larkhoist.jobs.spec import StagedJob, StepSpec
from larkhoist.ports.task_worker import EndKind
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history
from tests.fleet.machine import FleetMachine

RECLAIM_S = 3.4
LASTING = StepSpec(
    count=16, cpu_milli=2000, accelerators=1, estimate_ms=60_000, long_running=True
)
CLAIM = StepSpec(count=2, cpu_milli=3000, accelerators=4, estimate_ms=2500)


def replace(spec: StepSpec, **fields) -> StepSpec:
    values = {name: getattr(spec, name) for name in spec.__struct_fields__}
    return StepSpec(**{**values, **fields})


def make_lasting(step: StepSpec = LASTING, **terms) -> StagedJob:
    return make_job(1, step, **{"priority": 2, "customer": "bob", **terms})


def make_claim(number: int = 2, step: StepSpec = CLAIM, **terms) -> StagedJob:
    return make_job(number, step, **{"priority": 0, "customer": "ann", **terms})


def make_filled(
    lasting: StagedJob, *claims: StagedJob, guarantees=None, seed: int = 0
) -> FleetMachine:
    """Return two workers all of whose accelerators run long-running tasks."""
    jobs = (lasting, *claims)
    guarantees = {"ann": 8} if guarantees is None else guarantees
    machine = make_machine(2, jobs, guarantees, seed=seed, work_s=2.5)
    machine.world.work_s_of = lambda task: 1e6 if is_of(task, lasting) else 2.5
    machine.submit(lasting)
    machine.run(4)
    assert count_running(machine, lasting) == lasting.steps[0].count
    return machine


def is_of(task: str, job: StagedJob) -> bool:
    return task.startswith(job.job_id)


def count_running(machine: FleetMachine, job: StagedJob) -> int:
    workers = machine.world.workers.values()
    return sum(is_of(task, job) for worker in workers for task, _ in worker.runs)


def count_ends(machine: FleetMachine, job: StagedJob) -> Counter[EndKind]:
    return Counter(run.kind for run in machine.world.history if is_of(run.task, job))


def list_begins(machine: FleetMachine, job: StagedJob) -> list[float]:
    return [run.began_s for run in machine.world.history if is_of(run.task, job)]


@pytest.mark.parametrize("priority", [0, 2])
@pytest.mark.parametrize("checkpoints", [False, True])
@pytest.mark.parametrize("gang", [False, True])
def test_long_running_tasks_give_way_to_a_guaranteed_job(priority, checkpoints, gang):
    # Guards against a guaranteed job that never begins beside long-running ones.
    step = replace(LASTING, checkpoints=checkpoints, gang=gang)
    claim = make_claim()
    machine = make_filled(make_lasting(step, priority=priority), claim)
    machine.submit(claim)
    accepted_s = machine.now_s
    machine.run(RECLAIM_S)
    begins = list_begins(machine, claim)
    assert len(begins) == 2
    assert max(begins) <= accepted_s + RECLAIM_S
    check_history(machine)


def test_no_more_long_running_tasks_are_stopped_than_needed_and_they_come_back():
    claim, lasting = make_claim(), make_lasting()
    machine = make_filled(lasting, claim)
    machine.submit(claim)
    machine.run(12)
    assert count_ends(machine, lasting)[EndKind.STOPPED] == 8
    assert count_running(machine, lasting) == 16
    assert len(list_begins(machine, claim)) == 2


def test_other_borrowed_work_is_stopped_before_long_running_tasks():
    lasting = make_lasting(replace(LASTING, count=8))
    plain = make_job(3, replace(LASTING, count=8, long_running=False), priority=2)
    claim = make_claim(step=replace(CLAIM, count=1))
    machine = make_filled(lasting, plain, claim)
    machine.submit(plain)
    machine.run(2)
    machine.submit(claim)
    machine.run(RECLAIM_S)
    assert len(list_begins(machine, claim)) == 1
    assert not count_ends(machine, lasting)[EndKind.STOPPED]


def test_long_running_tasks_within_their_own_guarantee_are_not_stopped():
    lasting = make_lasting(replace(LASTING, count=8), priority=0)
    borrowed = make_job(3, replace(LASTING, count=8), priority=2, customer="cid")
    claim = make_claim()
    guarantees = {"ann": 8, "bob": 8}
    machine = make_filled(lasting, borrowed, claim, guarantees=guarantees)
    machine.world.work_s_of = lambda task: 2.5 if is_of(task, claim) else 1e6
    machine.submit(borrowed)
    machine.run(3)
    machine.submit(claim)
    machine.run(RECLAIM_S)
    assert len(list_begins(machine, claim)) == 2
    assert not count_ends(machine, lasting)[EndKind.STOPPED]


def test_work_beyond_its_guarantee_stops_no_long_running_tasks():
    lasting = make_lasting()
    beyond = make_claim(step=replace(CLAIM, count=3))
    machine = make_filled(lasting, beyond)
    machine.submit(beyond)
    machine.run(6)
    assert not count_ends(machine, lasting)[EndKind.STOPPED]
    # The guarantee grows by a change of the configuration.
    machine.guarantees = {"ann": 12}
    machine.owner.scheduler.set_guarantees(machine.guarantees)
    machine.run(RECLAIM_S)
    assert len(list_begins(machine, beyond)) == 3


def test_a_new_owner_stops_long_running_tasks_that_it_took_over():
    lasting, claim = make_lasting(), make_claim()
    machine = make_filled(lasting, claim)
    machine.replace_owner()
    machine.submit(claim)
    machine.run(RECLAIM_S)
    assert len(list_begins(machine, claim)) == 2


def test_several_customers_claim_at_once():
    lasting = make_lasting()
    claims = [make_claim(2), make_claim(3, customer="cid")]
    machine = make_filled(lasting, *claims, guarantees={"ann": 8, "cid": 8})
    for claim in claims:
        machine.submit(claim)
    machine.run(RECLAIM_S)
    assert [len(list_begins(machine, claim)) for claim in claims] == [2, 2]


@pytest.mark.parametrize(("max_away", "needed", "begins"), [(4, 4, 1), (2, 4, 0)])
def test_no_more_tasks_of_a_step_are_away_than_it_allows(max_away, needed, begins):
    # Guards against a service that loses more of its tasks at once than it can bear.
    lasting = make_lasting(replace(LASTING, max_away=max_away))
    step = replace(CLAIM, count=1, accelerators=needed)
    claims = [make_claim(2, step), make_claim(3, step)]
    # A limited step would leave a guarantee free.
    machine = make_filled(lasting, *claims, guarantees={})
    machine.guarantees = {"ann": 8}
    machine.owner.scheduler.set_guarantees(machine.guarantees)
    for claim in claims:
        machine.submit(claim)
    least = 16
    for _ in range(20):
        machine.run(0.1)
        least = min(least, count_running(machine, lasting))
    assert least >= 16 - max_away
    assert sum(len(list_begins(machine, claim)) for claim in claims) == begins


def test_a_limited_step_leaves_the_guarantees_free():
    lasting = make_lasting(replace(LASTING, max_away=1, checkpoints=True))
    machine = make_machine(2, (lasting,), {"ann": 8}, work_s=1e6)
    machine.submit(lasting)
    machine.run(1.5)
    assert count_running(machine, lasting) == 8
