"""Check the count of pending jobs while a runner is cut off (rule MIXED).

One of six runners is cut off, then a few jobs come. The owner orders their starts on
that runner, none of which is carried out. Once they have waited for ``visible_ms`` plus
2 s, every instance must count at least half of them as pending.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from fakes.client import PREFIX, Client, Record, put_configuration
from fakes.instance import BOUNDS, Instance
from fakes.link import Link
from fakes.store import Store
from fakes.worker import Worker

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("palermo-a", "catania-b", "messina-c")
WORKERS = 6
JOBS = 4
WORK_S = 20.0
DUE_S = BOUNDS["visible_ms"] / 1000 + 2
WATCH_S = 3.0
POLL_S = 0.2
TIME_LIMIT_S = 100.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Site:
    """Store, runners behind links, instances, and what has begun."""

    def __init__(self, folder: Path):
        self.begun: set[str] = set()
        self.placed: dict[str, str] = {}
        self._record = Record(Path(__file__).parent / "record.txt")
        self._folder = folder
        self.store = Store()
        self.client = Client(self._record)
        self.workers: list[Worker] = []
        self.links: dict[str, Link] = {}
        self.instances: list[Instance] = []

    def record(self, event: str, **fields) -> None:
        """Write an event to the record, and note which jobs have begun."""
        self._record(event, **fields)
        if event == "start":
            job_id = fields["task"].partition(".")[0]
            self.begun.add(job_id)
            self.placed[job_id] = fields["worker"]

    async def start(self) -> None:
        """Start everything and wait until the instances are ready."""
        await self.store.start()
        await put_configuration(self.store, 3)
        for number in range(WORKERS):
            zone = ZONES[number % len(ZONES)]
            hold_max_s = BOUNDS["hold_max_ms"] / 1000
            worker = Worker(f"i-{number}", zone, WORK_S, hold_max_s, self.record)
            self.workers.append(worker)
            await worker.start(self.store)
            link = self.links[worker.name] = Link(worker.address)
            await link.start()
            await worker.register(self.store, link.address)
        for zone in ZONES:
            instance = Instance(f"edge-{zone}", zone, self.store.address, self._folder)
            self.instances.append(instance)
        await asyncio.gather(*(one.start() for one in self.instances))
        for instance in self.instances:
            while (await self.client.call(instance.readiness, "GET", "/v1/readyz"))[
                0
            ] != 200:
                await asyncio.sleep(0.2)

    async def close(self) -> None:
        """End all processes and close the stand-ins."""
        for instance in self.instances:
            await instance.close()
        await self.client.close()
        for link in self.links.values():
            await link.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
        self._record.close()


async def check(site: Site) -> int:
    """Play the case and return the exit status."""
    loop = asyncio.get_running_loop()
    front = site.instances[0].http
    first = f"{0xF0:016x}"
    step = {"count": 1, "cpu": 8000, "mem_mb": 8000, "gpu": 4, "estimate_ms": 20000}
    if not await site.client.submit(front, first, [step]):
        return NOT_RUN
    while first not in site.begun:
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    if HAS_TROUBLE:
        # New tasks go where the least room is left, which is this runner.
        site.links[site.placed[first]].is_cut = True
        site.record("cut", worker=site.placed[first])
    step = {"count": 1, "cpu": 3000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 2500}
    accepted_s = {}
    for number in range(JOBS):
        job_id = f"{number + 1:016x}"
        if not await site.client.submit(front, job_id, [step]):
            return NOT_RUN
        accepted_s[job_id] = loop.time()
    await asyncio.sleep(DUE_S)
    end_s, most_waiting, is_broken = loop.time() + WATCH_S, 0, False
    while loop.time() < end_s:
        for instance in site.instances:
            asked_s = loop.time()
            status, answer = await site.client.call(instance.http, "GET", PREFIX)
            # Jobs that begin while the call is on its way don't count.
            waiting = [
                job_id
                for job_id, at_s in accepted_s.items()
                if asked_s > at_s + DUE_S and job_id not in site.begun
            ]
            most_waiting = max(most_waiting, len(waiting))
            if status == 200 and 2 * answer["pending"] < len(waiting):
                is_broken = True
                site.record("broken", pending=answer["pending"], not_begun=len(waiting))
        await asyncio.sleep(POLL_S)
    if HAS_TROUBLE and not most_waiting:
        site.record("not-run", reason="every job had begun")
        return NOT_RUN
    return BROKEN if is_broken else HELD


async def main() -> int:
    """Run the case within the time limit."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await site.start()
                status = await check(site)
        except TimeoutError:
            status = NOT_RUN
        finally:
            await site.close()
    return status


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
