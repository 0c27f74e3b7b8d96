import asyncio
from types import SimpleNamespace

from tests.promises.watcher import Watcher


class Answer:
    def json(self):
        return {"ready": True, "revision": 1}


class HalfFrozenCluster:
    """Cluster where one instance answers and the other froze during a call."""

    def __init__(self):
        process = SimpleNamespace(handle=SimpleNamespace(returncode=None), frozen=False)
        self.processes = {"alive": process, "frozen": process}
        self.answers = 0
        self.enough = asyncio.Event()

    async def get(self, name, _):
        if name == "frozen":
            await asyncio.Event().wait()
        self.answers += 1
        if self.answers == 3:
            self.enough.set()
        return Answer()


async def test_an_instance_that_never_answers_does_not_end_the_samples_of_others():
    cluster = HalfFrozenCluster()
    async with Watcher(cluster, ["frozen", "alive"]) as watcher:
        async with asyncio.timeout(10):
            await cluster.enough.wait()
    assert {sample.instance for sample in watcher.samples} == {"alive"}
