"""Promise 2 on real processes: owners die and freeze, workers die, the log fails."""

import asyncio
import time

import pytest

from larkhoist.codes import Code
from tests.checkers.gangs import TaskEvent, check_gangs
from tests.promises.callers import CUSTOMER, configure

HALL = "hall-a"
TIMING = {
    "lease_term_s": 1.0,
    "lease_renew_s": 0.3,
    "task_term_s": 4.0,
    "worker_lost_s": 1.2,
    "gossip_s": 0.1,
}
# The longest time for which part of a gang may run (task term, loss detection,
# lease term and two renewals), plus 2 s for delays on a loaded machine.
WINDOW_S = 4.0 + 1.2 + 1.0 + 2 * 0.3 + 2.0
SHAPE = {"halls": (HALL,), "instances": 3, "workers": 4, "runners": 0}


def make_job(number, members=2, accelerators=8, run_s=0.6, **more):
    return {
        "name": f"job-{number}",
        "customer": CUSTOMER,
        "members": members,
        "accelerators": accelerators,
        "adjacency": "rack",
        "declared_s": run_s,
        "payload": f"run_s={run_s}",
        **more,
    }


async def submit(cluster, job):
    """Submit a job to the running instances in turn until one accepts it."""
    while True:
        for name in cluster.get_instances(HALL):
            process = cluster.processes[name]
            if process.handle.returncode is None and not process.frozen:
                answer = await cluster.post(name, "/v1/jobs", job)
                if answer.code == Code.ACCEPTED:
                    return
        await asyncio.sleep(0.1)


def find_live(cluster):
    for name in cluster.get_instances(HALL):
        process = cluster.processes[name]
        if process.handle.returncode is None and not process.frozen:
            return name
    raise AssertionError("no instance is left")


async def check_journal(cluster, sizes):
    journal = await cluster.read_journal(HALL)
    events = [
        TaskEvent(e["at_s"], e["job_id"], e["attempt"], e["member"], e["event"])
        for e in journal
        if e["event"] != "dropped"
    ]
    end_s = max(event.at_s for event in events)
    return events, check_gangs(events, sizes, WINDOW_S, end_s)


@pytest.mark.promise(2)
async def test_gangs_stay_whole_while_owners_die_and_freeze(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings={"timing": TIMING})
    await configure(cluster)
    jobs = [make_job(n, members=1 + n % 4, accelerators=4) for n in range(12)]
    jobs += [make_job(20, 4, 8, 2.5), make_job(21, 2, 8, 2.5, repeatable=False)]
    for job in jobs[:7]:
        await submit(cluster, job)
    killed = await cluster.find_owner(HALL)
    await cluster.kill(killed)
    evidence.faults["owner killed"] += 1
    for job in jobs[7:]:
        await submit(cluster, job)
    frozen = await cluster.find_owner(HALL, others=(killed,))
    cluster.processes[frozen].freeze()
    evidence.faults["owner frozen past its lease"] += 1
    began_s = time.monotonic()
    await cluster.find_owner(HALL, others=(killed, frozen))
    ratio = (time.monotonic() - began_s) / TIMING["lease_term_s"]
    evidence.notes.append(f"a frozen owner was replaced after {ratio:.1f} lease terms")
    await cluster.set_platform_faults(down=True)
    evidence.faults["log down"] += 1
    await asyncio.sleep(1.0)
    cluster.processes[frozen].thaw()
    evidence.faults["owner woke"] += 1
    await asyncio.sleep(1.0)
    await cluster.set_platform_faults(down=False)
    name = find_live(cluster)
    for job in jobs:
        ended = await cluster.wait_for_job_state(name, job["name"])
        if job["name"] != "job-21":
            assert ended["code"] == Code.JOB_FINISHED
    sizes = {job["name"]: job["members"] for job in jobs}
    events, violations = await check_journal(cluster, sizes)
    evidence.operations += len(events)
    evidence.violations += len(violations)
    assert violations == []
    once = {e.attempt for e in events if e.job_id == "job-21" and e.event == "running"}
    assert len(once) <= 1


@pytest.mark.promise(2)
async def test_gang_is_stopped_and_run_again_when_a_worker_is_lost(
    start_cluster, evidence
):
    cluster = await start_cluster(**SHAPE, settings={"timing": TIMING})
    await configure(cluster)
    await submit(cluster, make_job(1, 2, 8, 3.0))
    name = find_live(cluster)
    placed = await cluster.wait_for_job_state(name, "job-1", "placed")
    await cluster.set_worker_faults(placed["workers"][0], frozen=True)
    evidence.faults["worker cut off"] += 1
    ended = await cluster.wait_for_job_state(name, "job-1")
    assert ended["code"] == Code.JOB_FINISHED
    assert ended["attempt"] == 2
    events, violations = await check_journal(cluster, {"job-1": 2})
    evidence.operations += len(events)
    evidence.violations += len(violations)
    assert violations == []


@pytest.mark.promise(2)
async def test_start_replies_lost_and_starts_dropped(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings={"timing": TIMING})
    await configure(cluster)
    for worker in cluster.get_workers(HALL):
        await cluster.set_worker_faults(
            worker, lose_start_replies=1, drop_starts=1, refuse_prepare=1
        )
        evidence.faults["start reply lost, start dropped, prepare refused"] += 1
    jobs = [make_job(n, members=3, accelerators=2) for n in range(4)]
    for job in jobs:
        await submit(cluster, job)
    name = find_live(cluster)
    for job in jobs:
        assert (await cluster.wait_for_job_state(name, job["name"]))[
            "code"
        ] == Code.JOB_FINISHED
    sizes = {job["name"]: job["members"] for job in jobs}
    events, violations = await check_journal(cluster, sizes)
    evidence.operations += len(events)
    evidence.violations += len(violations)
    assert violations == []
