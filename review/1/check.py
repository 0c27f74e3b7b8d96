"""Check that a job survives cuts of its runners (rule LOST).

A job of one long task runs on one of six runners. That runner is cut off for longer
than its lease, so that the task ends there and starts on another one. This happens five
times in a row, to one runner at a time. No run fails, so the job must not be shown as
failed.
"""

import asyncio
import os
from pathlib import Path

from fakes.case import Result, run_case
from fakes.client import PREFIX
from fakes.site import Site

WORKERS = 6
WORK_S = 30.0
MAX_ATTEMPTS = 2
CUTS = 5
CUT_S = 7.5
RUN_S = 1.0
"""How long the task runs before its runner is cut off."""
POLL_S = 0.1
TIME_LIMIT_S = 110.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = f"{1:016x}"
STEP = {"count": 1, "cpu": 3000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 30000}


async def cut_off_runners(site: Site) -> None:
    """Cut off the runner of the task, one after the other."""
    for _ in range(CUTS):
        worker, ended = site.begun[JOB], len(site.ends.get(JOB, []))
        await asyncio.sleep(RUN_S)
        site.links[worker].is_cut = True
        site.record("cut", worker=worker)
        await asyncio.sleep(CUT_S)
        site.links[worker].mend()
        site.record("mended", worker=worker)
        if len(site.ends.get(JOB, [])) == ended:
            # The run outlasted the cut: there was no loss.
            continue
        while site.begun[JOB] == worker:
            state = await get_state(site)
            if state not in ("pending", "running"):
                return
            await asyncio.sleep(POLL_S)


async def get_state(site: Site) -> str:
    """Return the state of the job that the first instance answers."""
    _, answer = await site.client.call(site.instances[0].http, "GET", PREFIX + JOB)
    return answer.get("state", "pending")


async def check(site: Site) -> Result:
    """Play the case and return its result."""
    if not await site.client.submit(site.instances[0].http, JOB, [STEP]):
        return Result.NOT_RUN
    while JOB not in site.begun:
        await asyncio.sleep(POLL_S)
    if HAS_TROUBLE:
        await cut_off_runners(site)
    while (state := await get_state(site)) in ("pending", "running"):
        await asyncio.sleep(POLL_S)
    failed = site.ends.get(JOB, []).count("failed")
    site.record("result", state=state, failed_runs=failed)
    return (
        Result.BROKEN if state != "completed" and failed < MAX_ATTEMPTS else Result.HELD
    )


if __name__ == "__main__":
    run_case(
        check,
        Path(__file__).parent,
        workers=WORKERS,
        work_s=WORK_S,
        time_limit_s=TIME_LIMIT_S,
    )
