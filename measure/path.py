"""Print the latency that an instance adds to a direct call to a runner.

The calls go over real sockets to real processes.
"""

import asyncio
import time

import aiohttp

from demo.cluster import Cluster, ClusterShape, create_cluster
from tests.promises.callers import CUSTOMER, configure

__all__ = ["print_path"]

ROUNDS = 400
LOAD_REQUESTS = 2000
CONCURRENT_CALLERS = 32


def print_path() -> None:
    """Print median latencies, their ratio, and requests per second of CPU time."""
    asyncio.run(_measure())


async def _measure() -> None:
    print("the true path, one hall, one instance, work of 0 ms")
    for echo in (False, True):
        shape = ClusterShape(
            halls=("hall-a",), workers=0, runners=2, echo=echo, slots=64
        )
        cluster = create_cluster(shape)
        try:
            await cluster.start()
            await configure(cluster, echoes_request_id=echo)
            await _measure_cluster(cluster, echo)
        finally:
            await cluster.close()


async def _measure_cluster(cluster: Cluster, echo: bool) -> None:
    runner, entry = "hall-a-runner-0", "hall-a-entry-0"
    direct, through = [], []
    async with aiohttp.ClientSession() as session:
        for _ in range(ROUNDS):
            direct.append(await _call(session, cluster.get_url(runner, "/run")))
            url = cluster.get_url(entry, "/v1/services/main/run")
            through.append(await _call(session, url))
    ratio = _median(through) / _median(direct)
    kind = "connections reused" if echo else "fresh connections"
    print(
        f"  {kind}: direct {_median(direct) * 1e3:.2f} ms, through the entry "
        f"{_median(through) * 1e3:.2f} ms, ratio {ratio:.2f}"
    )
    cpu_s, rate = await _load(cluster, entry)
    print(
        f"  {kind}: {rate:.0f} requests a second, {LOAD_REQUESTS / cpu_s:.0f} for each "
        f"second of the instance's processor time"
    )


async def _call(session: aiohttp.ClientSession, url: str) -> float:
    began_s = time.perf_counter()
    headers = {"Larkhoist-Customer": CUSTOMER}
    async with session.post(url, json={"work_ms": 0}, headers=headers) as response:
        await response.read()
        assert response.status == 200
    return time.perf_counter() - began_s


async def _load(cluster: Cluster, entry: str) -> tuple[float, float]:
    metric = "larkhoist_control_cpu_seconds"
    before_s = await cluster.read_metric(entry, metric)
    began_s = time.perf_counter()
    numbers = iter(range(LOAD_REQUESTS))
    url = cluster.get_url(entry, "/v1/services/main/run")
    async with aiohttp.ClientSession() as session:

        async def call_repeatedly() -> None:
            for _ in numbers:
                await _call(session, url)

        await asyncio.gather(*(call_repeatedly() for _ in range(CONCURRENT_CALLERS)))
    taken_s = time.perf_counter() - began_s
    used_s = await cluster.read_metric(entry, metric) - before_s
    return used_s, LOAD_REQUESTS / taken_s


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]
