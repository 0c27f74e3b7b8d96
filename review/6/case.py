"""Empty one runner while a job of background tasks has one task on each runner."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.lab import LONGEST_S, PREFIX, Lab  # noqa: E402
from standins2.runner import Work  # noqa: E402

RUNNERS = 80
MEMORY_MB = 552
FILLER = "5c0e7a21d94b36f8"
OTHERS = [f"{number:016x}" for number in range(1, 31)]
DRAIN_S = 2.0
FINISH_S = 14.0
IDLE_S = 3.0
KILLS = 3
MACHINES = 2
"""The rule's bound: three ends on a tenth of the machines, two at least."""


async def run() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the test can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    async with Lab(FOLDER, runners=RUNNERS, priority=0, memory_mb=MEMORY_MB) as lab:
        await lab.wait_until_ready()
        for instance in lab.instances:
            instance.limit_memory()
        await asyncio.sleep(3)
        lab.work[FILLER] = Work(float("inf"))
        step = {"count": RUNNERS, "cpu": 2000, "estimate_ms": 1000, "fills": True}
        step |= {"long_running": True, "anti_affinity": 1}
        if not await lab.submit(FILLER, {"spec": "fill", "steps": [step]}):
            return 2
        if not await lab.wait_until(lambda: count_active(lab) == RUNNERS, 10):
            return 2
        await asyncio.sleep(3)
        if trouble:
            await lab.runners[0].leave(DRAIN_S)
        accepted = await hand_in(lab)
        await asyncio.sleep(FINISH_S)
        lost = await find_lost(lab, accepted)
        kills = {one.name: one.peaks_mb for one in lab.instances}
        faulty = [name for name, peaks in kills.items() if len(peaks) >= KILLS]
        lab.note("verdict", accepted=len(accepted), lost=lost, kills=kills)
        print(f"processes over {MEMORY_MB} MB, their peaks: {kills}")
        print(f"{len(accepted)} jobs accepted, {len(lost)} of them lost")
        if len(faulty) >= MACHINES:
            print(f"FAULT: the processes of {len(faulty)} machines ended three times")
        return 1 if len(faulty) >= MACHINES or lost else 0


async def hand_in(lab: Lab) -> list[str]:
    """Hand in small jobs, one a second; return those that were accepted."""
    accepted = []
    step = {"count": 1, "cpu": 3700, "mem_mb": 7600, "gpu": 1, "estimate_ms": 2500}
    for number, job in enumerate(OTHERS):
        lab.work[job] = Work(2.5)
        if await lab.submit(job, {"spec": "live", "steps": [step]}, number):
            accepted.append(job)
        await asyncio.sleep(1)
    return accepted


def count_active(lab: Lab) -> int:
    """Return how many tasks of the background job run."""
    return sum(
        run.job == FILLER for runner in lab.runners for run in runner.active.values()
    )


async def find_lost(lab: Lab, accepted: list[str]) -> list[str]:
    """Return the accepted jobs with nothing running for 3 s that have not ended.

    All the while, the service is nearly empty.
    """
    idle = set(accepted)
    end_s = time.monotonic() + IDLE_S
    while time.monotonic() < end_s:
        running = {r.job for runner in lab.runners for r in runner.active.values()}
        idle -= running
        await asyncio.sleep(0.02)
    done = {run.job for run in lab.runs if run.how == "done"}
    for job in idle - done:
        lab.note("lost", job=job, path=PREFIX + job)
    return sorted(idle - done)


if __name__ == "__main__":
    try:
        CODE = asyncio.run(asyncio.wait_for(run(), LONGEST_S))
    except Exception as error:
        print(f"can't run: {error!r}")
        CODE = 2
    sys.exit(CODE)
