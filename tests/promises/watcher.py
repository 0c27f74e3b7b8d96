"""Sample the revision that every ready instance serves from."""

import asyncio
import time

import aiohttp

from tests.checkers.revisions import RevisionSample
from tests.promises.background import Background

__all__ = ["Watcher"]

INTERVAL_S = 0.05


class Watcher(Background):
    """Background task that samples every instance independently.

    An instance that freezes during a sample may never answer; this does not delay
    the samples of the others.
    """

    def __init__(self, cluster, names):
        self.cluster = cluster
        self.names = names
        self.samples = []

    async def _run(self):
        await asyncio.gather(*map(self._watch, self.names))

    async def _watch(self, name):
        while True:
            await self._sample(name)
            await asyncio.sleep(INTERVAL_S)

    async def _sample(self, name):
        process = self.cluster.processes[name]
        if process.handle.returncode is not None or process.frozen:
            return
        try:
            status = (await self.cluster.get(name, "/v1/status")).json()
        except (aiohttp.ClientError, TimeoutError):
            return
        if status["ready"]:
            sample = RevisionSample(time.monotonic(), name, status["revision"])
            self.samples.append(sample)
