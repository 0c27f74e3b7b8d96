"""Call a cluster as many callers at once and record what each was told."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
import msgspec

from demo.cluster import Cluster
from larkhoist.codes import Code
from tests.checkers.requests import CallRecord, Violation, check_requests
from tests.promises.background import Background

__all__ = ["CUSTOMER", "NOT_CONNECTED", "Callers", "FaultLoop", "configure", "judge"]

CUSTOMER = "workshop"
NOT_CONNECTED = -1
QUIET_S = 0.6


async def configure(cluster: Cluster, **service) -> None:
    """Put one customer and one service into force in every hall."""
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
    """Hold the history of all calls."""

    def __init__(self, cluster: Cluster, seed: int):
        self.cluster = cluster
        self.calls: list[CallRecord] = []
        self.random = random.Random(seed)
        self._numbers = 0

    async def call(
        self, name: str, key: str = "", work_ms: int = 5, deadline_ms: int = 3000
    ) -> CallRecord:
        """Send one request; one with a key is not repeatable."""
        self._numbers += 1
        marker = f"{key or 'request'}/{self._numbers}"
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

    async def run(self, names: Sequence[str], count: int, loops: int, keyed=0.5):
        """Send ``count`` requests from ``loops`` callers at once."""
        numbers = iter(range(count))

        async def loop() -> None:
            for number in numbers:
                name = self.random.choice(names)
                work_ms = self.random.choice((1, 5, 20))
                deadline_ms = self.random.choice((300, 3000))
                if self.random.random() >= keyed:
                    await self.call(name, "", work_ms, deadline_ms)
                else:
                    await self._call_again(names, f"key-{number}", work_ms)

        await asyncio.gather(*(loop() for _ in range(loops)))

    async def _call_again(self, names, key, work_ms) -> None:
        """Submit a key up to three times, through any instance."""
        for _ in range(3):
            record = await self.call(self.random.choice(names), key, work_ms, 2500)
            if record.code == Code.ANSWERED:
                break

    async def race(self, names: Sequence[str], key: str) -> list[CallRecord]:
        """Submit one key through every instance at the same time."""
        return await asyncio.gather(*(self.call(name, key) for name in names))


class FaultLoop(Background):
    """Bring about faults at intervals while the callers run."""

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
            name, bring_about = self._random.choice(self._faults)
            await bring_about()
            self._counts[name] += 1
            await asyncio.sleep(self._interval_s)


async def judge(callers: Callers) -> list[Violation]:
    """Wait until the runners are quiet and check the whole history."""
    before = None
    while True:
        executed = await callers.cluster.read_executions()
        if executed == before:
            break
        before = executed
        await asyncio.sleep(QUIET_S)
    return check_requests(callers.calls, [item["marker"] for item in executed])


def _read_marker(body: bytes) -> str:
    try:
        return msgspec.json.decode(body)["marker"]
    except (msgspec.DecodeError, KeyError):
        return "unreadable"
