"""Hand in two jobs that run each second of a day, and small jobs of others."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.lab import LONGEST_S, Lab  # noqa: E402
from standins2.runner import Work  # noqa: E402

TIMED = ["5c0e7a21d94b36f8", "5c0e7a21d94b36f9"]
OTHERS = [f"{number:016x}" for number in range(1, 11)]
TIMES = 86400
FEW_TIMES = 60
FINISH_S = 14.0
IDLE_S = 3.0


async def run() -> int:
    """Return 1 if accepted jobs are lost, 0 if not, 2 if the test can't run."""
    times = FEW_TIMES if os.environ.get("TROUBLE", "1") == "0" else TIMES
    async with Lab(FOLDER) as lab:
        await lab.wait_until_ready()
        for instance in lab.instances:
            instance.limit_memory()
        await asyncio.sleep(3)
        step = {"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 200}
        for job in TIMED:
            lab.work[job] = Work(0.2)
            body = {"spec": "tick", "steps": [step], "times": times}
            start_ms = int(time.time() * 1000) + 2000
            body |= {"start_at_ms": start_ms, "interval_ms": 1000}
            if not await lab.submit(job, body):
                return 2
        accepted = await hand_in(lab, OTHERS)
        await asyncio.sleep(FINISH_S)
        lost = await find_lost(lab, accepted)
        unanswered = await ask(lab, [*TIMED, *accepted])
        kills = {one.name: one.peaks_mb for one in lab.instances}
        lab.note("verdict", accepted=accepted, lost=lost, unanswered=unanswered)
        print(f"processes over {lab.memory_mb} MB, their peaks: {kills}")
        print(f"{len(accepted)} small jobs accepted, with nothing running: {lost}")
        print(f"jobs not known or without an answer at the end: {unanswered}")
        if lost or unanswered:
            print("LOST broken")
            return 1
        return 0


async def hand_in(lab: Lab, jobs: list[str]) -> list[str]:
    """Hand in small jobs, one a second; return those that were accepted."""
    step = {"count": 1, "cpu": 3700, "mem_mb": 7600, "gpu": 1, "estimate_ms": 2500}
    calls = []
    for number, job in enumerate(jobs):
        lab.work[job] = Work(2.5)
        body = {"spec": "live", "steps": [step]}
        calls.append(asyncio.create_task(lab.submit(job, body, number)))
        await asyncio.sleep(1)
    accepted = await asyncio.gather(*calls)
    return [job for job, is_accepted in zip(jobs, accepted, strict=True) if is_accepted]


async def ask(lab: Lab, jobs: list[str]) -> list[str]:
    """Ask for each job at all instances in turn; return those that none knows."""

    async def is_known(job: str) -> bool:
        for at in range(len(lab.instances)):
            if (await lab.call("GET", job, at=at))[0] == 200:
                return True
        return False

    known = await asyncio.gather(*(is_known(job) for job in jobs))
    return [
        job for job, is_answered in zip(jobs, known, strict=True) if not is_answered
    ]


async def find_lost(lab: Lab, accepted: list[str]) -> list[str]:
    """Return the accepted jobs that haven't ended and run nothing for 3 s.

    All the while, under half of the service is in use.
    """
    idle = set(accepted)
    end_s = time.monotonic() + IDLE_S
    while time.monotonic() < end_s:
        idle -= {r.job for runner in lab.runners for r in runner.active.values()}
        await asyncio.sleep(0.02)
    done = {run.job for run in lab.runs if run.how == "done"}
    return sorted(idle - done)


if __name__ == "__main__":
    try:
        CODE = asyncio.run(asyncio.wait_for(run(), LONGEST_S))
    except Exception as error:
        print(f"can't run: {error!r}")
        CODE = 2
    sys.exit(CODE)
