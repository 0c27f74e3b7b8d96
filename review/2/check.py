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
from pathlib import Path

from fakes.case import Result, run_case
from fakes.channel import Channel, NoAnswerError
from fakes.client import PREFIX
from fakes.instance import BOUNDS, Instance
from fakes.site import Site

INSTANCES = 6
WORKERS = 3
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


class Restarts:
    """Stops instances and hands jobs in on their open channels; ``lost`` counts."""

    def __init__(self, site: Site):
        self.lost = 0
        self._site = site
        self._jobs = 0

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
            self._site.record("sigterm", instance=instance.name)
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
            await self._site.wait_until_ready(instance)

    async def _send(self, channel: Channel, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        await asyncio.sleep(max(0.0, at_s - loop.time()))
        sent_s = loop.time()
        self._site.record("sent", job=job_id)
        try:
            body = {"spec": job_id, "steps": [STEP]}
            status = await channel.call("POST", PREFIX + job_id, body)
            self._site.record("answered", job=job_id, status=status)
        except NoAnswerError as error:
            took_s = loop.time() - sent_s
            is_lost = took_s > SLACK_S and not error.was_reset
            self.lost += is_lost
            self._site.record(
                "lost" if is_lost else "closed",
                job=job_id,
                after_s=round(took_s, 3),
                reset=error.was_reset,
            )


async def check(site: Site) -> Result:
    """Play the case and return its result."""
    restarts = Restarts(site)
    for _ in range(ROUNDS):
        stops = []
        for instance, first_s in zip(site.instances, FIRST_S, strict=True):
            stops.append(asyncio.create_task(restarts.stop(instance, first_s)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*stops)
    site.record("result", lost=restarts.lost)
    return Result.BROKEN if restarts.lost else Result.HELD


if __name__ == "__main__":
    run_case(
        check,
        Path(__file__).parent,
        workers=WORKERS,
        work_s=WORK_S,
        time_limit_s=TIME_LIMIT_S,
        instances=INSTANCES,
    )
