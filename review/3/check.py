"""Check the count of pending jobs while a runner is cut off (rule MIXED).

One of six runners is cut off, then a few jobs come. The owner orders their starts on
that runner, none of which is carried out. Once they have waited for ``visible_ms`` plus
2 s, every instance must count at least half of them as pending.
"""

import asyncio
import os
from pathlib import Path

from fakes.case import Result, run_case
from fakes.client import PREFIX
from fakes.instance import BOUNDS
from fakes.site import Site

WORKERS = 6
JOBS = 4
WORK_S = 20.0
DUE_S = BOUNDS["visible_ms"] / 1000 + 2
WATCH_S = 3.0
POLL_S = 0.2
TIME_LIMIT_S = 100.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def check(site: Site) -> Result:
    """Play the case and return its result."""
    loop = asyncio.get_running_loop()
    front = site.instances[0].http
    first = f"{0xF0:016x}"
    step = {"count": 1, "cpu": 8000, "mem_mb": 8000, "gpu": 4, "estimate_ms": 20000}
    if not await site.client.submit(front, first, [step]):
        return Result.NOT_RUN
    while first not in site.begun:
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    if HAS_TROUBLE:
        # New tasks go where the least room is left, which is this runner.
        site.links[site.begun[first]].is_cut = True
        site.record("cut", worker=site.begun[first])
    step = {"count": 1, "cpu": 3000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 2500}
    accepted_s = {}
    for number in range(JOBS):
        job_id = f"{number + 1:016x}"
        if not await site.client.submit(front, job_id, [step]):
            return Result.NOT_RUN
        accepted_s[job_id] = loop.time()
    await asyncio.sleep(DUE_S)
    for instance in site.instances:
        # For the record only.
        await site.client.call(instance.http, "GET", f"{PREFIX}{1:016x}")
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
        return Result.NOT_RUN
    return Result.BROKEN if is_broken else Result.HELD


if __name__ == "__main__":
    run_case(
        check,
        Path(__file__).parent,
        workers=WORKERS,
        work_s=WORK_S,
        time_limit_s=TIME_LIMIT_S,
    )
