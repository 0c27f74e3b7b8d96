"""Promise 2 on the simulated hall: gangs run whole under any sequence of faults."""

from unittest.mock import patch

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st

from larkhoist.log.objects import JobSpec
from larkhoist.log.state import JobState
from larkhoist.ownership.tenure import Tenure
from larkhoist.ports.worker import Verb
from larkhoist.scheduling.attempt import Attempt
from larkhoist.scheduling.attempt import Phase as AttemptPhase
from tests.checkers.gangs import check_gangs
from tests.promises.hall_machine import TERMS, HallMachine

WINDOW_S = TERMS.task_term_s + TERMS.lost_after_s + TERMS.term_s + 2 * TERMS.renew_s
WORKERS = 4
NAMES = [f"w{n}" for n in range(WORKERS)]
JOBS = (
    ("gang-4", 4, 8, 3.0, True),
    ("gang-3", 3, 4, 8.0, True),
    ("once-2", 2, 2, 5.0, False),
    ("single", 1, 1, 2.0, True),
)

fault = st.one_of(
    st.tuples(st.just("kill worker"), st.sampled_from(NAMES)),
    st.tuples(st.just("revive worker"), st.sampled_from(NAMES)),
    st.tuples(st.just("refuse prepare"), st.sampled_from(NAMES)),
    st.tuples(st.just("drop start"), st.sampled_from(NAMES)),
    st.tuples(st.just("lose replies"), st.sampled_from(NAMES)),
    st.tuples(st.just("keep replies"), st.sampled_from(NAMES)),
    st.tuples(st.just("fail tasks"), st.sampled_from(NAMES)),
    st.tuples(st.just("cut"), st.sampled_from(NAMES)),
    st.tuples(st.just("unlist worker"), st.sampled_from(NAMES)),
    st.tuples(st.just("relist worker"), st.sampled_from(NAMES)),
    st.tuples(st.just("heal"), st.just("")),
    st.tuples(st.just("freeze owner"), st.just("")),
    st.tuples(st.just("thaw owners"), st.just("")),
    st.tuples(st.just("kill owner"), st.just("")),
    st.tuples(st.just("new owner"), st.just("")),
    st.tuples(st.just("log down"), st.just("")),
    st.tuples(st.just("log up"), st.just("")),
)
plans = st.lists(
    st.tuples(fault, st.sampled_from((0.25, 0.5, 1.0, 4.0, 12.0))), max_size=14
)


def inject_fault(machine, name, target, number):
    owners = machine.owners
    match name:
        case "kill worker":
            machine.kill_worker(target)
        case "revive worker":
            machine.revive_worker(target)
        case "refuse prepare":
            machine.workers[target].faults.refuse_prepare += 1
        case "drop start":
            machine.workers[target].faults.drop_starts += 8
        case "lose replies":
            machine.lose_replies.add(target)
        case "keep replies":
            machine.lose_replies.discard(target)
        case "fail tasks":
            machine.workers[target].faults.fail_tasks ^= True
        case "cut":
            machine.cut_links |= {(owner.name, target) for owner in owners}
        case "unlist worker":
            machine.unlist_worker(target)
        case "relist worker":
            machine.relist_worker(target)
        case "heal":
            machine.cut_links.clear()
        case "freeze owner" if owners:
            owners[0].frozen = True
        case "thaw owners":
            for owner in owners:
                owner.frozen = False
        case "kill owner" if owners:
            owners.pop(0)
        case "new owner":
            machine.add_owner(f"owner-{number}")
        case "log down":
            machine.log_down = True
        case "log up":
            machine.log_down = False


def run_plan(plan, counts=None):
    machine = HallMachine(WORKERS)
    machine.add_owner("owner")
    for job_id, members, accelerators, run_s, repeatable in JOBS:
        machine.submit(
            JobSpec(
                job_id,
                "c",
                members,
                accelerators,
                "rack",
                declared_s=run_s,
                payload=f"run_s={run_s}",
                repeatable=repeatable,
            )
        )
    for number, ((name, target), wait_s) in enumerate(plan):
        inject_fault(machine, name, target, number)
        if counts is not None:
            counts[name] += 1
        machine.run(wait_s)
    return machine


def clear_faults_and_run(machine):
    machine.log_down = False
    machine.cut_links.clear()
    machine.lose_replies.clear()
    for name, worker in machine.workers.items():
        machine.revive_worker(name)
        machine.relist_worker(name)
        worker.faults.fail_tasks = False
        worker.faults.refuse_prepare = worker.faults.drop_starts = 0
    for owner in machine.owners:
        owner.frozen = False
    machine.add_owner("healer")
    machine.run(150.0)


def check(machine):
    return check_gangs(machine.get_events(), machine.sizes, WINDOW_S, machine.now_s)


def count_runs(machine, job_id):
    events = machine.get_events()
    return len(
        {e.attempt for e in events if e.job_id == job_id and e.event == "running"}
    )


@pytest.mark.promise(2)
@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate, Phase.shrink),
)
@given(plan=plans)
# Regressions: minimal plans that failed before, each for a different fault.
@example(plan=[(("kill worker", "w0"), 0.25)])
@example(plan=[(("heal", ""), 0.25), (("kill worker", "w0"), 4.0)])
@example(
    plan=[
        (("kill worker", "w2"), 0.25),
        (("cut", "w0"), 0.25),
        (("cut", "w1"), 0.25),
        (("new owner", ""), 4.0),
    ]
)
@example(plan=[(("revive worker", "w0"), 0.5), (("lose replies", "w1"), 4.0)])
def test_gangs_run_whole_through_any_faults(evidence, plan):
    machine = run_plan(plan, evidence.faults)
    clear_faults_and_run(machine)
    violations = check(machine)
    evidence.operations += len(machine.get_events())
    evidence.violations += len(violations)
    assert violations == []
    assert count_runs(machine, "once-2") <= 1
    assert all(job.state is JobState.ENDED for job in machine.state.jobs.values())


def start_with_prepare(self, now_s):
    """Send each member its start directly after its prepare."""
    self._enter(AttemptPhase.PREPARING, now_s)
    return [
        self._make_command(index, verb)
        for index in range(len(self.members))
        for verb in (Verb.PREPARE, Verb.START)
    ]


@pytest.mark.promise(2)
def test_partial_gang_without_the_barrier(evidence):
    with patch.object(Attempt, "begin", start_with_prepare):
        machine = run_plan([(("refuse prepare", "w2"), 30.0)])
    violations = check(machine)
    evidence.violations_with_mechanism_off += len(violations)
    assert any("prepared" in violation.what for violation in violations)


@pytest.mark.promise(2)
def test_partial_gang_without_stopping_the_rest(evidence):
    with patch.object(Attempt, "_stop_for_failure", lambda *_: []):
        machine = run_plan([(("log up", ""), 1.5), (("kill worker", "w3"), 40.0)])
        # The remaining members run on alone; "long" does so for over WINDOW_S.
        machine.submit(JobSpec("long", "c", 3, 8, "rack", payload="run_s=60"))
        machine.run(2.0)
        machine.kill_worker("w1")
        machine.run(40.0)
    violations = check(machine)
    evidence.violations_with_mechanism_off += len(violations)
    assert any("in part" in violation.what for violation in violations)


@pytest.mark.promise(2)
def test_two_attempts_at_once_without_waiting_for_idle(evidence):
    with patch.object(Tenure, "must_be_idle", lambda *_: True):
        machine = HallMachine(WORKERS)
        machine.add_owner("owner")
        machine.submit(JobSpec("j", "c", 2, 8, "rack", payload="run_s=30"))
        machine.run(3.0)
        job = machine.owners[0].scheduler.jobs["j"]
        machine.cut_links.add(("owner", job.current.members[0].place.worker))
        machine.run(40.0)
    violations = check(machine)
    evidence.violations_with_mechanism_off += len(violations)
    assert any("another attempt" in violation.what for violation in violations)


@pytest.mark.promise(2)
def test_member_on_an_unlisted_worker_is_waited_for(evidence):
    machine = HallMachine(WORKERS)
    machine.add_owner("owner")
    machine.submit(JobSpec("j", "c", 2, 8, "rack", payload="run_s=30"))
    machine.run(3.0)
    job = machine.owners[0].scheduler.jobs["j"]
    machine.unlist_worker(job.current.members[0].place.worker)
    evidence.faults["unlist worker"] += 1
    machine.run(80.0)
    evidence.operations += len(machine.get_events())
    assert check(machine) == []
    assert machine.state.jobs["j"].state is JobState.ENDED


@pytest.mark.promise(2)
def test_owner_that_dies_after_a_worker_left_the_list_leaves_no_second_run(evidence):
    machine = HallMachine(WORKERS)
    machine.add_owner("owner")
    machine.submit(JobSpec("j", "c", 2, 8, "rack", payload="run_s=30"))
    machine.run(3.0)
    job = machine.owners[0].scheduler.jobs["j"]
    machine.unlist_worker(job.current.members[0].place.worker)
    machine.owners.clear()
    machine.add_owner("next")
    evidence.faults["unlist worker"] += 1
    evidence.faults["kill owner"] += 1
    machine.run(90.0)
    evidence.operations += len(machine.get_events())
    assert check(machine) == []
    assert machine.state.jobs["j"].state is JobState.ENDED
