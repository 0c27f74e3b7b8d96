"""Promise 8: accepted configuration is in force within seconds and never reverts."""

import asyncio

import pytest

from demo.cluster import wait_for
from larkhoist.codes import Code
from tests.checkers.revisions import find_reversions
from tests.promises.watcher import Watcher

HALLS = ("hall-a", "hall-b", "hall-c")
SHAPE = {"halls": HALLS, "instances": 2, "workers": 0, "runners": 0}
FAST = {"timing": {"gossip_s": 0.1, "snapshot_s": 0.5, "log_wait_s": 1.0}}
BOUND_S = 4.0


def list_instances(cluster):
    return [name for hall in HALLS for name in cluster.get_instances(hall)]


def watch(cluster):
    return Watcher(cluster, list_instances(cluster))


def make_intent(share, name="customer"):
    return {"customers": [{"name": name, "share": share}]}


async def wait_in_force(cluster, names, revision):
    """Wait for the revision on every named instance; return the seconds it took."""

    async def is_in_force():
        for name in names:
            status = (await cluster.get(name, "/v1/status")).json()
            if status["revision"] < revision:
                return False
        return True

    return await wait_for(is_in_force, f"revision {revision} in force", 30.0)


async def change(cluster, name, share, names):
    """Confirm a change; return the seconds until every named instance has it."""
    confirmed = await cluster.confirm_intent(name, make_intent(share))
    assert confirmed["code"] == Code.ACCEPTED
    return await wait_in_force(cluster, names, confirmed["revision"])


@pytest.mark.promise(8)
async def test_changes_reach_every_hall_and_never_revert(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    names = list_instances(cluster)
    taken = []
    async with watch(cluster) as watcher:
        taken.append(await change(cluster, names[0], 1, names))
        # A hall that is cut off from the platform gets changes from its peers.
        await cluster.block_from_platform(*cluster.get_instances("hall-c"))
        evidence.faults["hall cut from the platform"] += 1
        taken.append(await change(cluster, names[0], 2, names))
        # An instance of the cut hall is replaced by a new one.
        victim = cluster.get_instances("hall-c")[0]
        await cluster.kill(victim)
        await cluster.start_instance(victim)
        evidence.faults["instance replaced in a cut hall"] += 1
        await cluster.wait_ready(victim)
        await cluster.block_from_platform()
        # The reply to an append is lost; the change is applied only once.
        await cluster.set_platform_faults(lose_replies=2)
        evidence.faults["append reply lost"] += 2
        taken.append(await change(cluster, names[1], 3, names))
        status = (await cluster.get(names[0], "/v1/status")).json()
        assert status["revision"] == 3
        # Every instance of one hall is replaced while the platform is down.
        await cluster.set_platform_faults(down=True)
        evidence.faults["platform down"] += 1
        refused = await cluster.post(names[0], "/v1/plans", make_intent(9))
        assert refused.code in (Code.LOG_UNAVAILABLE, Code.APPEND_UNKNOWN)
        for name in cluster.get_instances("hall-b"):
            await cluster.kill(name)
            await cluster.start_instance(name)
            await cluster.wait_ready(name)
            evidence.faults["instance replaced with the platform down"] += 1
        await cluster.set_platform_faults(down=False)
        taken.append(await change(cluster, names[2], 4, names))
    violations = find_reversions(watcher.samples)
    evidence.operations += len(watcher.samples)
    evidence.violations += len(violations)
    slowest = max(taken)
    evidence.notes.append(f"slowest change in force everywhere after {slowest:.2f} s")
    assert violations == []
    assert slowest < BOUND_S


@pytest.mark.promise(8)
async def test_fresh_instance_reverts_without_the_readiness_rule(
    start_cluster, evidence
):
    cluster = await start_cluster("tests.broken.no_readiness", **SHAPE, settings=FAST)
    names = list_instances(cluster)
    async with watch(cluster) as watcher:
        await change(cluster, names[0], 1, names)
        # The watcher must sample the victim's revision before it is replaced.
        await asyncio.sleep(0.5)
        await cluster.set_platform_faults(down=True)
        for process in cluster.processes.values():
            if process.name in names[1:]:
                process.freeze()
        await cluster.kill(names[0])
        await cluster.start_instance(names[0])
        await cluster.wait_ready(names[0])
        await asyncio.sleep(0.5)
    violations = find_reversions(watcher.samples)
    evidence.violations_with_mechanism_off += len(violations)
    assert violations


@pytest.mark.promise(8)
async def test_cut_hall_stays_behind_without_the_relay(start_cluster, evidence):
    cluster = await start_cluster("tests.broken.no_relay", **SHAPE, settings=FAST)
    names = list_instances(cluster)
    await change(cluster, names[0], 1, names)
    await cluster.block_from_platform(*cluster.get_instances("hall-c"))
    confirmed = await cluster.confirm_intent(names[0], make_intent(2))
    await asyncio.sleep(BOUND_S)
    for name in cluster.get_instances("hall-c"):
        status = (await cluster.get(name, "/v1/status")).json()
        evidence.violations_with_mechanism_off += (
            status["revision"] < confirmed["revision"]
        )
        assert status["revision"] < confirmed["revision"]


@pytest.mark.promise(8)
async def test_racing_operators_get_one_winner(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    names = list_instances(cluster)
    for number in range(6):
        plans = await asyncio.gather(
            *(
                cluster.post(name, "/v1/plans", make_intent(n + 1, f"team-{number}"))
                for n, name in enumerate(names)
            )
        )
        ids = [plan.json()["plan_id"] for plan in plans]
        answers = await asyncio.gather(
            *(
                cluster.post(name, f"/v1/plans/{plan_id}/confirm")
                for name, plan_id in zip(names, ids, strict=True)
            )
        )
        winners = [
            plan_id
            for plan_id, answer in zip(ids, answers, strict=True)
            if answer.code == Code.ACCEPTED
        ]
        losers = [a.json()["problems"][0] for a in answers if a.code != Code.ACCEPTED]
        evidence.operations += len(answers)
        evidence.faults["operators racing"] += 1
        assert len(winners) == 1
        assert {loser["code"] for loser in losers} == {Code.STALE_BASE}
        assert all(winners[0] in loser["detail"] for loser in losers)
        again = await cluster.post(names[-1], f"/v1/plans/{winners[0]}/confirm")
        assert again.code == Code.ACCEPTED
        revisions = (await cluster.get(names[0], "/v1/status")).json()["revision"]
        assert revisions == number + 1


@pytest.mark.promise(8)
async def test_reader_behind_a_trimmed_log_takes_a_snapshot(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    names = list_instances(cluster)
    last = names[-1]
    await change(cluster, names[0], 1, names)
    cluster.processes[last].freeze()
    await cluster.set_platform_faults(retention=3)
    evidence.faults["log trimmed past a reader"] += 1
    for share in range(2, 8):
        await change(cluster, names[0], share, names[:-1])
    await asyncio.sleep(1.5)
    async with watch(cluster) as watcher:
        cluster.processes[last].thaw()
        await wait_in_force(cluster, [last], 7)
        # A new instance starts from the snapshot and the rest of the log alone.
        await cluster.kill(last)
        await cluster.start_instance(last)
        await cluster.wait_ready(last)
        await wait_in_force(cluster, [last], 7)
    violations = find_reversions(watcher.samples)
    evidence.operations += len(watcher.samples)
    evidence.violations += len(violations)
    assert violations == []
