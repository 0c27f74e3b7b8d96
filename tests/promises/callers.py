"""Send requests from concurrent callers to a cluster and record each outcome."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
import msgspec

from demo.cluster import Cluster
from larkhoist.codes import Code
from tests.checkers.requests import CallRecord, Violation, check_requests
from tests.promises.background import Background

__all__ = [
    "CUSTOMER",
    "NOT_CONNECTED",
    "Callers",
    "FaultInjector",
    "check_history",
    "configure",
]

CUSTOMER = "workshop"
NOT_CONNECTED = -1
EXECUTIONS_POLL_S = 0.6


async def configure(cluster: Cluster, **service) -> None:
    """Confirm one customer and one service and wait until every instance has them."""
    hall = cluster.shape.halls[0]
    intent = {
        "customers": [{"name": CUSTOMER}],
        "services": [{"name": "main", **service}],
    }
    confirmed = await cluster.confirm_intent(cluster.get_instances(hall)[0], intent)
    assert confirmed["code"] == Code.ACCEPTED
    for hall in cluster.shape.halls:
        for name in cluster.get_instances(hall):
            while (await cluster.get(name, "/v1/status")).json()["revision"] < 1:
                await asyncio.sleep(0.05)


class Callers:
    """Callers that share one random generator and record every call."""

    def __init__(self, cluster: Cluster, seed: int):
        self.cluster = cluster
        self.calls: list[CallRecord] = []
        self.random = random.Random(seed)
        self._call_count = 0

    async def call(
        self, name: str, key: str = "", work_ms: int = 5, deadline_ms: int = 3000
    ) -> CallRecord:
        """Send one request and record it.

        A request with a key is sent as not repeatable. ``code`` of the record is
        ``NOT_CONNECTED`` if no connection was made, and 0 if no answer came.
        """
        self._call_count += 1
        marker = f"{key or 'request'}/{self._call_count}"
        headers = {
            "Larkhoist-Customer": CUSTOMER,
            "Larkhoist-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers |= {"Larkhoist-Repeatable": "no", "Idempotency-Key": key}
        body = {"marker": marker, "work_ms": work_ms}
        code, answer = 0, ""
        try:
            reply = await self.cluster.send_request(name, body, **headers)
            code = reply.code
            if code == Code.ANSWERED:
                answer = _read_marker(reply.body)
        except aiohttp.ClientConnectorError:
            code = NOT_CONNECTED
        except (aiohttp.ClientError, TimeoutError):
            pass
        record = CallRecord(marker, key, not key, code, answer)
        self.calls.append(record)
        return record

    async def run(self, names: Sequence[str], count: int, loops: int, keyed_share=0.5):
        """Run ``count`` calls from ``loops`` concurrent callers.

        ``keyed_share`` is the fraction of the calls that carry a key; such a call
        may submit its key more than once.
        """
        numbers = iter(range(count))

        async def loop() -> None:
            for number in numbers:
                name = self.random.choice(names)
                work_ms = self.random.choice((1, 5, 20))
                deadline_ms = self.random.choice((300, 3000))
                if self.random.random() >= keyed_share:
                    await self.call(name, "", work_ms, deadline_ms)
                else:
                    await self._submit_key(names, f"key-{number}", work_ms)

        await asyncio.gather(*(loop() for _ in range(loops)))

    async def _submit_key(self, names, key, work_ms) -> None:
        """Submit a key until it is answered, at most three times."""
        for _ in range(3):
            record = await self.call(self.random.choice(names), key, work_ms, 2500)
            if record.code == Code.ANSWERED:
                break

    async def race(self, names: Sequence[str], key: str) -> list[CallRecord]:
        """Submit one key through every instance at the same time."""
        return await asyncio.gather(*(self.call(name, key) for name in names))


class FaultInjector(Background):
    """Background task that injects a random fault every ``interval_s`` seconds.

    ``counts`` receives the number of injections by the name of the fault.
    """

    def __init__(
        self,
        faults: Sequence[tuple[str, Callable[[], Awaitable[None]]]],
        counts,
        seed: int,
        interval_s: float = 0.05,
    ):
        self._faults = faults
        self._counts = counts
        self._random = random.Random(seed)
        self._interval_s = interval_s

    async def _run(self) -> None:
        while True:
            name, inject_fault = self._random.choice(self._faults)
            await inject_fault()
            self._counts[name] += 1
            await asyncio.sleep(self._interval_s)


async def check_history(callers: Callers) -> list[Violation]:
    """Wait until the runners execute nothing more and check the whole history."""
    before = None
    while True:
        executed = await callers.cluster.read_executions()
        if executed == before:
            break
        before = executed
        await asyncio.sleep(EXECUTIONS_POLL_S)
    return check_requests(callers.calls, [item["marker"] for item in executed])


def _read_marker(body: bytes) -> str:
    try:
        return msgspec.json.decode(body)["marker"]
    except (msgspec.DecodeError, KeyError):
        return "unreadable"
