"""Promise 1: a claimed guaranteed shape is made available, however full the racks."""

from unittest.mock import patch

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from larkhoist.log.objects import Cell, CustomerSpec, Guarantee, JobSpec
from larkhoist.log.state import JobState
from larkhoist.scheduling.attempt import AttemptTimes
from larkhoist.scheduling.hall import HallScheduler
from tests.promises.hall_machine import HALL, STEP_S, TERMS, HallMachine

WORKERS = 8
TIMES = AttemptTimes()
# The grace periods for checkpoint and throttle, one renewal until the stop is
# reported, and a few steps each for stop, prepare and start.
CLAIM_BOUND_S = TIMES.checkpoint_grace_s + TIMES.throttle_grace_s + TERMS.renew_s
CLAIM_BOUND_S += 10 * STEP_S
GUARANTEES = {"g1": (Cell(8, 1), Cell(1, 2)), "g2": (Cell(16, 1),), "g3": (Cell(4, 2),)}
CLAIMS = (
    JobSpec("claim-8", "g1", 1, 8, "worker", guaranteed=True, payload="run_s=500"),
    JobSpec("claim-1a", "g1", 1, 1, "worker", guaranteed=True, payload="run_s=500"),
    JobSpec("claim-1b", "g1", 1, 1, "worker", guaranteed=True, payload="run_s=500"),
    JobSpec("claim-16", "g2", 2, 8, "rack", guaranteed=True, payload="run_s=500"),
    JobSpec("claim-4a", "g3", 1, 4, "worker", guaranteed=True, payload="run_s=500"),
    JobSpec("claim-4b", "g3", 4, 1, "worker", guaranteed=True, payload="run_s=500"),
)


def make_full_hall(fill, refuse_checkpoint=False):
    """Return a hall whose racks are filled with work that holds no guarantee.

    ``fill`` lists the members and the accelerators per member of each job.
    """
    machine = HallMachine(WORKERS)
    for name, cells in GUARANTEES.items():
        guarantee = Guarantee(HALL, cells)
        machine.put_customer(CustomerSpec(name, 1, (guarantee,)))
    for worker in machine.workers.values():
        worker.faults.refuse_checkpoint = refuse_checkpoint
    machine.add_owner("owner")
    machine.run(5.0)
    for number, (members, accelerators) in enumerate(fill):
        adjacency = "rack" if members > 1 else "worker"
        machine.submit(
            JobSpec(
                f"fill-{number}",
                "b",
                members,
                accelerators,
                adjacency,
                payload="run_s=1000",
            )
        )
        machine.run(STEP_S)
    machine.run(3.0)
    return machine


def is_running(machine, job_id):
    return machine.state.jobs[job_id].state is JobState.PLACED


def measure_claims(machine, claims, limit_s):
    """Submit claims; return the seconds until all run, or None past the limit."""
    for spec in claims:
        machine.submit(spec)
    began_s = machine.now_s
    while machine.now_s < began_s + limit_s:
        if all(is_running(machine, spec.job_id) for spec in claims):
            return machine.now_s - began_s
        machine.step()
    return None


fills = st.lists(
    st.sampled_from(((1, 1), (1, 2), (1, 4), (1, 8), (2, 8), (4, 4), (8, 8), (8, 1))),
    min_size=4,
    max_size=40,
)
orders = st.permutations(CLAIMS)


@pytest.mark.promise(1)
@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(fill=fills, order=orders, refuse=st.booleans(), together=st.booleans())
def test_every_claim_is_honoured_in_full_racks(evidence, fill, order, refuse, together):
    machine = make_full_hall(fill, refuse)
    evidence.faults["full racks"] += 1
    evidence.faults["checkpoint refused"] += refuse
    groups = [order] if together else [[spec] for spec in order]
    evidence.faults["claims at once"] += together
    for group in groups:
        taken_s = measure_claims(machine, group, CLAIM_BOUND_S)
        evidence.operations += len(group)
        evidence.violations += taken_s is None
        assert taken_s is not None
        covered, reason = machine.owners[0].scheduler.check_guarantees()
        assert covered, reason


FULL = [(1, 1)] * 64


@pytest.mark.promise(1)
def test_claims_are_not_honoured_without_reclaim(evidence):
    with patch.object(HallScheduler, "_reclaim_for", lambda *_: []):
        machine = make_full_hall(FULL)
        taken_s = measure_claims(machine, CLAIMS, CLAIM_BOUND_S)
    evidence.violations_with_mechanism_off += taken_s is None
    assert taken_s is None


@pytest.mark.promise(1)
def test_claim_is_honoured_when_the_owner_dies_in_mid_reclaim(evidence):
    machine = make_full_hall(FULL, refuse_checkpoint=True)
    for spec in CLAIMS:
        machine.submit(spec)
    machine.run(1.0)
    machine.owners.clear()
    machine.add_owner("next")
    evidence.faults["owner dies in mid-reclaim"] += 1
    limit_s = TERMS.term_s + TERMS.renew_s + CLAIM_BOUND_S + 3.0
    began_s = machine.now_s
    while machine.now_s < began_s + limit_s:
        machine.step()
    evidence.operations += len(CLAIMS)
    assert all(is_running(machine, spec.job_id) for spec in CLAIMS)


@pytest.mark.promise(1)
def test_claim_is_honoured_after_a_worker_fails(evidence):
    machine = make_full_hall(FULL)
    machine.kill_worker("w3")
    evidence.faults["worker killed"] += 1
    limit_s = CLAIM_BOUND_S + TERMS.term_s + TERMS.task_term_s + 5.0
    assert measure_claims(machine, CLAIMS, limit_s) is not None
    evidence.operations += len(CLAIMS)


@pytest.mark.promise(1)
def test_two_claims_beyond_the_guarantee_leave_the_others_covered(evidence):
    machine = make_full_hall(FULL)
    twice = [
        JobSpec(f"twice-{n}", "g2", 2, 8, "rack", guaranteed=True, payload="run_s=500")
        for n in range(2)
    ]
    for spec in twice:
        machine.submit(spec)
    machine.run(CLAIM_BOUND_S)
    assert sum(is_running(machine, spec.job_id) for spec in twice) == 1
    covered, reason = machine.owners[0].scheduler.check_guarantees()
    assert covered, reason
    others = [spec for spec in CLAIMS if spec.customer != "g2"]
    assert measure_claims(machine, others, CLAIM_BOUND_S) is not None
    evidence.operations += 2 + len(others)
