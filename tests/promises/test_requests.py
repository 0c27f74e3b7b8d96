"""Promises 3, 4 and 5: own and whole answers, correct 'not run', at most one run."""

import asyncio

import pytest

from larkhoist.codes import Code
from tests.promises.callers import Callers, FaultInjector, check_history, configure

HALLS = ("hall-a", "hall-b")
SHAPE = {"halls": HALLS, "instances": 2, "workers": 0, "runners": 2}
RESETS = 20
"""More than the attempts that one call makes."""
FAST = {"timing": {"claim_wait_s": 1.5, "gossip_s": 0.1}}


def list_instances(cluster):
    return [name for hall in HALLS for name in cluster.get_instances(hall)]


def list_runners(cluster):
    return [name for hall in HALLS for name in cluster.get_runners(hall)]


def make_runner_faults(cluster, random, *names):
    def make(fault):
        async def inject_fault():
            runner = random.choice(list_runners(cluster))
            await cluster.set_runner_faults(runner, **{fault: 2})

        return inject_fault

    return [(name, make(name)) for name in names]


async def run_runner_faults(cluster, evidence, *faults, count=400, keyed_share=0.3):
    await configure(cluster)
    callers = Callers(cluster, seed=4)
    injector = FaultInjector(
        make_runner_faults(cluster, callers.random, *faults), evidence.faults, seed=5
    )
    async with injector:
        await callers.run(
            list_instances(cluster), count, loops=12, keyed_share=keyed_share
        )
    evidence.operations += len(callers.calls)
    return callers, await check_history(callers)


async def call_over_resets(cluster, evidence):
    """Return the violations of a call whose every attempt ran and was then reset."""
    runners = list_runners(cluster)
    for runner in runners:
        await cluster.set_runner_faults(runner, reset_after_run=RESETS)
    evidence.faults["reset_after_run"] += len(runners)
    callers = Callers(cluster, seed=4)
    await callers.call(list_instances(cluster)[0])
    evidence.operations += len(callers.calls)
    return await check_history(callers)


@pytest.mark.promise(4)
async def test_not_run_means_that_it_ran_nowhere(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    callers, violations = await run_runner_faults(
        cluster, evidence, "reset_before_run", "reset_after_run", "refuse", "truncate"
    )
    evidence.violations += len(violations)
    assert violations == []
    kinds = {call.code // 100 for call in callers.calls}
    assert {1, 3} <= kinds


@pytest.mark.promise(4)
async def test_not_run_is_wrong_without_the_send_account(start_cluster, evidence):
    cluster = await start_cluster(
        "tests.broken.no_send_account", **SHAPE, settings=FAST
    )
    _, violations = await run_runner_faults(cluster, evidence, "reset_after_run")
    # Random faults may not reset two attempts of one call in a row.
    violations += await call_over_resets(cluster, evidence)
    evidence.violations_with_mechanism_off += len(violations)
    assert {violation.promise for violation in violations} >= {4}


@pytest.mark.promise(4)
async def test_not_run_while_upstreams_are_dead_and_callers_leave(
    start_cluster, evidence
):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    await configure(cluster)
    callers = Callers(cluster, seed=6)
    names = list_instances(cluster)
    running = asyncio.create_task(callers.run(names, 300, loops=12, keyed_share=0.2))
    await asyncio.sleep(0.2)
    # Callers that disconnect got no answer, so the history omits them.
    for name in names:
        leaving = asyncio.create_task(callers.call(name, work_ms=200))
        await asyncio.sleep(0.05)
        leaving.cancel()
    evidence.faults["caller left"] += len(names)
    for process in cluster.processes.values():
        if process.name.startswith("upstream"):
            process.freeze()
    await asyncio.sleep(0.5)
    for process in cluster.processes.values():
        if process.name.startswith("upstream"):
            process.thaw()
    evidence.faults["upstream frozen"] += 2
    await running
    violations = await check_history(callers)
    evidence.operations += len(callers.calls)
    evidence.violations += len(violations)
    assert violations == []
    for process in cluster.processes.values():
        if process.name.startswith("upstream"):
            await cluster.kill(process.name)
    evidence.faults["upstream killed"] += 2
    refused = await callers.call(names[0])
    assert refused.code == Code.CONNECT_FAILED


@pytest.mark.promise(3)
async def test_each_caller_gets_its_own_whole_answer(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    callers, violations = await run_runner_faults(
        cluster, evidence, "double", "truncate", "reset_after_run", keyed_share=0.0
    )
    evidence.violations += len(violations)
    assert violations == []
    assert sum(call.code == Code.ANSWERED for call in callers.calls) > 200


@pytest.mark.promise(3)
async def test_reused_connections_are_safe_where_ids_come_back(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, echo=True, settings=FAST)
    await configure(cluster, echoes_request_id=True)
    callers = Callers(cluster, seed=4)
    faults = make_runner_faults(cluster, callers.random, "double", "truncate")
    async with FaultInjector(faults, evidence.faults, seed=5):
        await callers.run(list_instances(cluster), 400, loops=12, keyed_share=0.0)
    violations = await check_history(callers)
    evidence.operations += len(callers.calls)
    evidence.violations += len(violations)
    assert violations == []


@pytest.mark.promise(3)
async def test_doubled_answers_go_astray_without_the_check(start_cluster, evidence):
    cluster = await start_cluster(
        "tests.broken.no_answer_check", **SHAPE, settings=FAST
    )
    _, violations = await run_runner_faults(
        cluster, evidence, "double", keyed_share=0.0
    )
    evidence.violations_with_mechanism_off += len(violations)
    assert {violation.promise for violation in violations} == {3}


@pytest.mark.promise(3)
async def test_entry_killed_in_mid_answer_gives_no_wrong_answer(
    start_cluster, evidence
):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    await configure(cluster)
    callers = Callers(cluster, seed=8)
    names = list_instances(cluster)
    running = asyncio.create_task(callers.run(names, 300, loops=12, keyed_share=0.3))
    await asyncio.sleep(0.4)
    await cluster.kill(names[1])
    evidence.faults["entry killed"] += 1
    await running
    violations = await check_history(callers)
    evidence.operations += len(callers.calls)
    evidence.violations += len(violations)
    assert violations == []


async def run_claim_faults(cluster, evidence):
    """Race and resubmit keys while replies are lost, the log fails and entries die."""
    await configure(cluster)
    callers = Callers(cluster, seed=9)
    names = list_instances(cluster)

    async def lose_replies():
        await cluster.set_platform_faults(lose_replies=3)

    async def stop_log():
        await cluster.set_platform_faults(down=True)
        await asyncio.sleep(0.3)
        await cluster.set_platform_faults(down=False)

    async def slow_log():
        await cluster.set_platform_faults(slow_ms=150)
        await asyncio.sleep(0.3)
        await cluster.set_platform_faults(slow_ms=0)

    async def freeze_entry():
        process = cluster.processes[callers.random.choice(names[1:])]
        if process.handle.returncode is None:
            process.freeze()
            await asyncio.sleep(0.4)
            process.thaw()

    faults = [
        ("append reply lost", lose_replies),
        ("log down", stop_log),
        ("log slow", slow_log),
        ("entry frozen", freeze_entry),
        *make_runner_faults(
            cluster, callers.random, "reset_after_run", "reset_before_run", "refuse"
        ),
    ]
    async with FaultInjector(faults, evidence.faults, seed=10):
        running = asyncio.create_task(
            callers.run(names, 250, loops=12, keyed_share=1.0)
        )
        for number in range(15):
            await callers.race(names, f"race-{number}")
        await cluster.kill(names[-1])
        evidence.faults["entry killed"] += 1
        await running
    evidence.operations += len(callers.calls)
    return callers, await check_history(callers)


@pytest.mark.promise(5)
async def test_not_repeatable_runs_at_most_once(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    callers, violations = await run_claim_faults(cluster, evidence)
    evidence.violations += len(violations)
    assert violations == []
    assert sum(call.code == Code.ANSWERED for call in callers.calls) > 50


@pytest.mark.promise(5)
async def test_not_repeatable_runs_twice_without_claims(start_cluster, evidence):
    cluster = await start_cluster("tests.broken.no_claims", **SHAPE, settings=FAST)
    _, violations = await run_claim_faults(cluster, evidence)
    evidence.violations_with_mechanism_off += len(violations)
    assert {violation.promise for violation in violations} == {5}


@pytest.mark.promise(5)
async def test_outage_is_told_at_once_and_the_key_stays_free(start_cluster, evidence):
    cluster = await start_cluster(halls=("hall-a",), workers=0, runners=1)
    await configure(cluster)
    callers = Callers(cluster, seed=11)
    name = "hall-a-entry-0"
    await cluster.set_platform_faults(down=True)
    evidence.faults["log down"] += 1
    first = await callers.call(name, "bill-1")
    again = await callers.call(name, "bill-1")
    repeatable = await callers.call(name)
    assert first.code == again.code == Code.CLAIM_UNAVAILABLE
    assert repeatable.code == Code.ANSWERED
    await cluster.set_platform_faults(down=False)
    # The pending claim is appended to the log and then released. Until then the
    # key is held for a body with another marker, hence KEY_REUSED.
    later = Code.CLAIM_UNAVAILABLE
    while later in (Code.CLAIM_UNAVAILABLE, Code.KEY_REUSED):
        later = (await callers.call(name, "bill-1")).code
    assert later == Code.ANSWERED
    evidence.operations += len(callers.calls)
    assert await check_history(callers) == []


async def test_requests_beyond_the_bound_are_refused_at_once(start_cluster):
    cluster = await start_cluster(
        halls=("hall-a",),
        workers=0,
        runners=1,
        settings={"limits": {"max_in_flight": 4}},
    )
    await configure(cluster)
    callers = Callers(cluster, seed=15)
    calls = (callers.call("hall-a-entry-0", work_ms=1500) for _ in range(12))
    codes = [record.code for record in await asyncio.gather(*calls)]
    assert codes.count(Code.ANSWERED) == 4
    assert codes.count(Code.QUEUE_FULL) == 8
    assert await check_history(callers) == []
