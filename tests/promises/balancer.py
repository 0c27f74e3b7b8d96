"""Choose among instances that report themselves ready, as the platform does."""

import asyncio

import aiohttp

from demo.cluster import Cluster
from tests.promises.background import Background
from tests.promises.callers import Callers

__all__ = ["Balancer"]

POLL_S = 0.1


class Balancer(Background):
    """Load balancer that polls the readiness of every instance.

    If no instance is ready, the last non-empty choice stays in use.
    """

    def __init__(self, cluster: Cluster, names: list[str]):
        self._cluster = cluster
        self._names = names
        self.ready = list(names)

    def choose(self, callers: Callers) -> str:
        """Return the name of a ready instance, drawn at random."""
        return callers.random.choice(self.ready)

    async def _run(self) -> None:
        while True:
            answers = await asyncio.gather(*map(self._is_ready, self._names))
            pairs = zip(self._names, answers, strict=True)
            self.ready = [name for name, ready in pairs if ready] or self.ready
            await asyncio.sleep(POLL_S)

    async def _is_ready(self, name: str) -> bool:
        try:
            return (await self._cluster.get(name, "/readyz")).status == 200
        except aiohttp.ClientError:
            return False
