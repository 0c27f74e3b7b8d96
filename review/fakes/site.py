"""Store, runners behind links, and instances, as one small deployment."""

import asyncio
from pathlib import Path

from fakes.client import Client, Record, put_configuration
from fakes.instance import BOUNDS, Instance
from fakes.link import Link
from fakes.store import Store
from fakes.worker import Worker

__all__ = ["ZONES", "Site"]

ZONES = ("palermo-a", "catania-b", "messina-c")
POLL_S = 0.2


class Site:
    """A small deployment; ``begun`` and ``ends`` tell what its runners did.

    ``begun`` holds the runner of the last start of each job, ``ends`` how the runs of
    each job ended.
    """

    def __init__(
        self,
        folder: Path,
        record_path: Path,
        workers: int,
        work_s: float,
        instances: int = len(ZONES),
    ):
        self.begun: dict[str, str] = {}
        self.ends: dict[str, list[str]] = {}
        self.links: dict[str, Link] = {}
        self.instances: list[Instance] = []
        self._record = Record(record_path)
        self.client = Client(self._record)
        self._folder = folder
        self._store = Store()
        self._workers: list[Worker] = []
        self._worker_count = workers
        self._instance_count = instances
        self._work_s = work_s

    def record(self, event: str, **fields) -> None:
        """Write an event to the record, and note what the runners did."""
        self._record(event, **fields)
        job_id = fields.get("task", "").partition(".")[0]
        match event:
            case "start":
                self.begun[job_id] = fields["worker"]
            case "end":
                self.ends.setdefault(job_id, []).append(fields["how"])

    async def start(self) -> None:
        """Start everything and wait until the instances are ready."""
        await self._store.start()
        await put_configuration(self._store, 3)
        for number in range(self._worker_count):
            zone = ZONES[number % len(ZONES)]
            hold_max_s = BOUNDS["hold_max_ms"] / 1000
            worker = Worker(f"i-{number}", zone, self._work_s, hold_max_s, self.record)
            self._workers.append(worker)
            await worker.listen()
            link = self.links[worker.name] = Link(worker.address)
            await link.start()
            await worker.register(self._store, link.address)
        for number in range(self._instance_count):
            zone = ZONES[number % len(ZONES)]
            name, address = f"edge-{zone}-{number}", self._store.address
            self.instances.append(Instance(name, zone, address, self._folder))
        await asyncio.gather(*(one.start() for one in self.instances))
        await asyncio.gather(*(self.wait_until_ready(one) for one in self.instances))

    async def add_instance(self, name: str) -> tuple[Instance, Link]:
        """Start one more instance, whose calls to the store go through a link."""
        link = Link(self._store.address)
        self.links[name] = link
        await link.start()
        instance = Instance(name, ZONES[0], link.address, self._folder)
        self.instances.append(instance)
        await instance.start()
        await self.wait_until_ready(instance)
        return instance, link

    async def wait_until_ready(self, instance: Instance) -> None:
        """Wait until an instance reports that it is ready."""
        call = (instance.readiness, "GET", "/v1/readyz")
        while (await self.client.call(*call))[0] != 200:
            await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        """End all processes and close the stand-ins."""
        for instance in self.instances:
            await instance.close()
        await self.client.close()
        for link in self.links.values():
            await link.close()
        for worker in self._workers:
            await worker.close()
        await self._store.close()
        self._record.close()
