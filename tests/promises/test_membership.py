"""Promises 6 and 7: no new work for a leaving upstream; planned stops cut nothing."""

import asyncio
import time

import pytest

from larkhoist.codes import is_unknown
from tests.promises.balancer import Balancer
from tests.promises.callers import Callers, check_history, configure

HALL = "hall-a"
SHAPE = {"halls": (HALL,), "instances": 3, "workers": 0, "runners": 4}
FAST = {"timing": {"gossip_s": 0.1, "list_poll_s": 0.3, "drain_notice_s": 0.5}}
BOUND_S = 3.0
SLOW_MS = 1500


async def find_last_start(cluster, runner):
    journal = (await cluster.get(runner, "/journal")).json()
    return max((entry["began_s"] for entry in journal), default=0.0)


async def leave_under_load(cluster, evidence, before_mark):
    """Mark a runner as leaving under load.

    Return the seconds from the mark to the last request that the runner started.
    """
    await configure(cluster)
    names = cluster.get_instances(HALL)
    callers = Callers(cluster, seed=12)
    running = asyncio.create_task(callers.run(names, 1500, loops=12, keyed_share=0.0))
    await asyncio.sleep(0.5)
    await before_mark(cluster)
    runner = cluster.get_runners(HALL)[0]
    marked_s = time.monotonic()
    await cluster.mark_leaving(runner)
    evidence.faults["upstream leaving under load"] += 1
    await running
    while time.monotonic() < marked_s + BOUND_S + 1.0:
        await callers.run(names, 100, loops=12, keyed_share=0.0)
    evidence.operations += len(callers.calls)
    assert await check_history(callers) == []
    return await find_last_start(cluster, runner) - marked_s


async def do_nothing(cluster):
    """Change nothing before the mark."""


async def let_one_see_the_list(cluster):
    """Cut all instances but the first off from the platform and its list."""
    await cluster.block_from_platform(*cluster.get_instances(HALL)[1:])


async def start_one_afresh(cluster):
    """Replace an instance, so that it starts while the upstream leaves."""
    name = cluster.get_instances(HALL)[-1]
    await cluster.kill(name)
    await cluster.start_instance(name)


@pytest.mark.promise(6)
@pytest.mark.parametrize(
    "before_mark", [do_nothing, let_one_see_the_list, start_one_afresh]
)
async def test_leaving_upstream_gets_no_new_work(start_cluster, evidence, before_mark):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    lasted_s = await leave_under_load(cluster, evidence, before_mark)
    evidence.violations += lasted_s > BOUND_S
    evidence.faults[before_mark.__name__.replace("_", " ")] += 1
    evidence.notes.append(
        f"last new request {max(0.0, lasted_s):.2f} s after the mark "
        f"({before_mark.__name__.replace('_', ' ')})"
    )
    assert lasted_s < BOUND_S


@pytest.mark.promise(6)
async def test_leaving_upstream_gets_work_without_the_mark(start_cluster, evidence):
    cluster = await start_cluster("tests.broken.no_leaving", **SHAPE, settings=FAST)
    lasted_s = await leave_under_load(cluster, evidence, do_nothing)
    evidence.violations_with_mechanism_off += lasted_s > BOUND_S
    assert lasted_s > BOUND_S


async def call_through_balancer(callers, balancer, seconds):
    """Call through the balancer from nine callers; three send slow requests."""
    end_s = time.monotonic() + seconds

    async def loop(slow):
        while time.monotonic() < end_s:
            await callers.call(
                balancer.choose(callers), work_ms=SLOW_MS if slow else 10
            )

    await asyncio.gather(*(loop(slow=n % 3 == 0) for n in range(9)))


def find_cut_off(callers):
    """Return the calls without an answer or whose code leaves the outcome unknown."""
    return [c for c in callers.calls if c.code <= 0 or is_unknown(c.code)]


@pytest.mark.promise(7)
async def test_planned_stop_of_upstream_cuts_nothing_off(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    await configure(cluster)
    callers = Callers(cluster, seed=13)
    names = cluster.get_instances(HALL)
    async with Balancer(cluster, names) as balancer:
        running = asyncio.create_task(call_through_balancer(callers, balancer, 5.0))
        await asyncio.sleep(0.5)
        for runner in cluster.get_runners(HALL)[:2]:
            await cluster.mark_leaving(runner)
            evidence.faults["upstream stopped under load"] += 1
        await asyncio.sleep(3.0)
        # The platform stops a runner after BOUND_S. No new request may reach it
        # by then: from now on the runner resets every request.
        for runner in cluster.get_runners(HALL)[:2]:
            await cluster.set_runner_faults(runner, reset_before_run=10_000)
        await running
    cut_off = find_cut_off(callers)
    evidence.operations += len(callers.calls)
    evidence.violations += len(cut_off)
    assert cut_off == []


async def replace_all(cluster, evidence):
    """Replace every instance in turn under load; return the calls cut off."""
    await configure(cluster)
    callers = Callers(cluster, seed=14)
    names = cluster.get_instances(HALL)
    async with Balancer(cluster, names) as balancer:
        running = asyncio.create_task(call_through_balancer(callers, balancer, 10.0))
        await asyncio.sleep(0.5)
        for name in names:
            await cluster.stop(name)
            await cluster.start_instance(name)
            await cluster.wait_ready(name)
            evidence.faults["entry stopped under load"] += 1
        await running
    evidence.operations += len(callers.calls)
    assert await check_history(callers) == []
    return find_cut_off(callers)


@pytest.mark.promise(7)
async def test_rolling_replacement_cuts_nothing_off(start_cluster, evidence):
    cluster = await start_cluster(**SHAPE, settings=FAST)
    cut_off = await replace_all(cluster, evidence)
    evidence.violations += len(cut_off)
    assert cut_off == []


@pytest.mark.promise(7)
async def test_stop_without_drain_cuts_requests_off(start_cluster, evidence):
    cluster = await start_cluster("tests.broken.no_drain", **SHAPE, settings=FAST)
    cut_off = await replace_all(cluster, evidence)
    evidence.violations_with_mechanism_off += len(cut_off)
    assert cut_off
