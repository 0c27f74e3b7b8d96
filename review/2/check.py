"""Check that an instance answers what it has read before it stops (rule LOST).

Six instances get SIGTERM one after the other, first without any request, which shows
when they close their open channels, and then four times more. Consumers keep their
channels open; some hand a job in at that time, when the instance has no other request
in hand. A request is lost if its channel ends without an answer later than
``loss_slack_ms`` after the request was sent. A channel that is reset doesn't count: the
instance may not have read the request.
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
ROUNDS = 4
CHANNELS = 12
NOTICE_S = 2.2
"""When an instance closes after SIGTERM, at the earliest."""
LEADS_S = (0.005, 0.004, 0.003, 0.002, 0.001, 0.0)
"""How long before the time at which it closed first an instance gets requests; each
round moves the leads on by one instance."""
SPREAD_S = 0.004
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

    async def measure_close(self, instance: Instance) -> float:
        """Stop an instance and start it again; return how soon it closed a channel."""
        if not HAS_TROUBLE:
            return NOTICE_S
        channel = await self._open(instance)
        begun_s = self._signal(instance)
        await channel.wait_closed()
        closed_s = asyncio.get_running_loop().time() - begun_s
        self._site.record("closed-idle", instance=instance.name, after_s=closed_s)
        channel.close()
        await self._start_again(instance)
        return closed_s

    async def stop(self, instance: Instance, first_s: float) -> None:
        """Stop an instance and start it again; hand jobs in on its open channels."""
        channels = [await self._open(instance) for _ in range(CHANNELS)]
        begun_s = self._signal(instance)
        sends = [
            self._send(channel, begun_s + first_s + SPREAD_S * number / CHANNELS)
            for number, channel in enumerate(channels)
        ]
        await asyncio.gather(*sends)
        for channel in channels:
            channel.close()
        if HAS_TROUBLE:
            await self._start_again(instance)

    async def _open(self, instance: Instance) -> Channel:
        """Return a channel that has been in use."""
        channel = await Channel.open(instance.http)
        await channel.call("GET", PREFIX)
        return channel

    def _signal(self, instance: Instance) -> float:
        """Send SIGTERM, unless there is to be no trouble; return the time."""
        if HAS_TROUBLE:
            instance.send_signal(signal.SIGTERM)
            self._site.record("sigterm", instance=instance.name)
        return asyncio.get_running_loop().time()

    async def _start_again(self, instance: Instance) -> None:
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


async def _spread(stop, instance: Instance, place: int, *args):
    """Stop an instance later than those before it."""
    await asyncio.sleep(GAP_S * place)
    return await stop(instance, *args)


async def check(site: Site) -> Result:
    """Play the case and return its result."""
    restarts = Restarts(site)
    closes = [
        _spread(restarts.measure_close, one, n) for n, one in enumerate(site.instances)
    ]
    closes_s = await asyncio.gather(*closes)
    for number in range(ROUNDS):
        stops = []
        for place, instance in enumerate(site.instances):
            first_s = closes_s[place] - LEADS_S[(place + number) % INSTANCES]
            stops.append(_spread(restarts.stop, instance, place, first_s))
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
