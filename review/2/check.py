"""Check that an instance answers what it has read before it stops (rule LOST).

Six instances get SIGTERM one after the other, and then each of them twice. Consumers
keep their channels open; some of them hand a job in 2.2 s after the signal, when the
instance has no other request in hand and closes. A request is lost if its channel ends
without an answer later than ``loss_slack_ms`` after the request was sent. A channel
that is reset doesn't count: the instance may not have read the request.
"""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from fakes.channel import Channel, NoAnswerError
from fakes.client import PREFIX, Client, Record, put_configuration
from fakes.instance import BOUNDS, Instance
from fakes.store import Store
from fakes.worker import Worker

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("palermo-a", "catania-b", "messina-c")
INSTANCES = 6
ROUNDS = 2
CHANNELS = 12
FIRST_S = (2.200, 2.201, 2.202, 2.203, 2.205, 2.208)
"""When the first request is sent, after the signal, by instance."""
SPREAD_S = 0.006
GAP_S = 0.5
WORK_S = 0.5
SLACK_S = BOUNDS["loss_slack_ms"] / 1000
STOP_S = BOUNDS["grace_s"] + 1.0
TIME_LIMIT_S = 100.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEP = {"count": 1, "cpu": 100, "mem_mb": 100, "estimate_ms": 500}


class Site:
    """Store, runners and instances."""

    def __init__(self, folder: Path):
        self.record = Record(Path(__file__).parent / "record.txt")
        self.lost = 0
        self._folder = folder
        self._store = Store()
        self._client = Client(self.record)
        self._workers: list[Worker] = []
        self.instances: list[Instance] = []
        self._jobs = 0

    async def start(self) -> None:
        """Start everything and wait until the instances are ready."""
        await self._store.start()
        await put_configuration(self._store, 3)
        for zone in ZONES:
            hold_max_s = BOUNDS["hold_max_ms"] / 1000
            worker = Worker(f"i-{zone}", zone, WORK_S, hold_max_s, self.record)
            self._workers.append(worker)
            await worker.start(self._store)
        for number in range(INSTANCES):
            zone = ZONES[number % len(ZONES)]
            name = f"edge-{zone}-{number}"
            address = self._store.address
            self.instances.append(Instance(name, zone, address, self._folder))
        await asyncio.gather(*(one.start() for one in self.instances))
        await asyncio.gather(*(self._wait_until_ready(o) for o in self.instances))

    async def close(self) -> None:
        """End all processes and close the stand-ins."""
        for instance in self.instances:
            await instance.close()
        await self._client.close()
        for worker in self._workers:
            await worker.close()
        await self._store.close()
        self.record.close()

    async def stop(self, instance: Instance, first_s: float) -> None:
        """Stop an instance and start it again; hand jobs in on its open channels."""
        loop = asyncio.get_running_loop()
        channels = []
        for _ in range(CHANNELS):
            channel = await Channel.open(instance.http)
            await channel.call("GET", PREFIX)
            channels.append(channel)
        begun_s = loop.time()
        if HAS_TROUBLE:
            instance.send_signal(signal.SIGTERM)
            self.record("sigterm", instance=instance.name)
        sends = [
            self._send(channel, begun_s + first_s + SPREAD_S * number / CHANNELS)
            for number, channel in enumerate(channels)
        ]
        await asyncio.gather(*sends)
        for channel in channels:
            channel.close()
        if HAS_TROUBLE:
            async with asyncio.timeout(STOP_S):
                await instance.process.wait()
            await instance.launch()
            await self._wait_until_ready(instance)

    async def _send(self, channel: Channel, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        await asyncio.sleep(max(0.0, at_s - loop.time()))
        sent_s = loop.time()
        self.record("sent", job=job_id)
        try:
            body = {"spec": job_id, "steps": [STEP]}
            status = await channel.call("POST", PREFIX + job_id, body)
            self.record("answered", job=job_id, status=status)
        except NoAnswerError as error:
            took_s = loop.time() - sent_s
            is_lost = took_s > SLACK_S and not error.was_reset
            self.lost += is_lost
            self.record(
                "lost" if is_lost else "closed",
                job=job_id,
                after_s=round(took_s, 3),
                reset=error.was_reset,
            )

    async def _wait_until_ready(self, instance: Instance) -> None:
        call = (instance.readiness, "GET", "/v1/readyz")
        while (await self._client.call(*call))[0] != 200:
            await asyncio.sleep(0.2)


async def check(site: Site) -> int:
    """Play the case and return the exit status."""
    for _ in range(ROUNDS):
        stops = []
        for instance, first_s in zip(site.instances, FIRST_S, strict=True):
            stops.append(asyncio.create_task(site.stop(instance, first_s)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*stops)
    site.record("result", lost=site.lost)
    return BROKEN if site.lost else HELD


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
