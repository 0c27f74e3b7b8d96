"""Hand in a burst of jobs with many steps, and small jobs of others beside them."""

import asyncio
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.lab import LONGEST_S, Lab  # noqa: E402
from standins2.runner import Work  # noqa: E402

WIDE = [f"5c0e7a21d94b36{number:02x}" for number in range(10)]
BURST_S = 5.0
OTHERS = [f"{number:016x}" for number in range(1, 11)]
STEPS = 500
FEW_STEPS = 10
SMALL = {
    "spec": "live",
    "steps": [{"count": 1, "cpu": 3700, "mem_mb": 7600, "gpu": 1, "estimate_ms": 2500}],
}
FINISH_S = 14.0
IDLE_S = 3.0


async def run() -> int:
    """Return 1 if accepted jobs are lost, 0 if not, 2 if the test can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    async with Lab(FOLDER) as lab:
        await lab.wait_until_ready()
        await asyncio.sleep(3)
        accepted = await hand_in(lab, OTHERS[:3], SMALL, Work(2.5))
        step = {"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500}
        steps = STEPS if trouble else FEW_STEPS
        body = {"spec": "wide", "steps": [step] * steps}
        lab.note("wide-jobs", steps=steps, bytes=len(json.dumps(body)))
        wide, others = await asyncio.gather(
            hand_in(lab, WIDE, body, Work(0.5), BURST_S / len(WIDE)),
            hand_in(lab, OTHERS[3:], SMALL, Work(2.5)),
        )
        accepted += [*wide, *others]
        await asyncio.sleep(FINISH_S)
        unanswered = await ask(lab, accepted)
        lost = await find_lost(lab, accepted, steps)
        done = sorted({run.job for run in lab.runs if run.how == "done"})
        lab.note("verdict", accepted=accepted, done=done, lost=lost)
        lab.note("verdict", unanswered=unanswered)
        gains = [
            line
            for instance in lab.instances
            for line in instance.lines
            if "event=tenure-gained" in line
        ]
        print(f"{len(accepted)} jobs accepted; with nothing running for 3 s: {lost}")
        print(f"jobs not known or without an answer at the end: {unanswered}")
        print(f"owners in turn: {len(gains)}")
        if lost or unanswered:
            print("LOST broken")
            return 1
        return 0


async def hand_in(
    lab: Lab, jobs: list[str], body: dict, work: Work, interval_s: float = 1.0
) -> list[str]:
    """Hand in jobs, one each interval; return those that were accepted."""
    calls = []
    for number, job in enumerate(jobs):
        lab.work[job] = work
        calls.append(asyncio.create_task(lab.submit(job, body, number)))
        await asyncio.sleep(interval_s)
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


async def find_lost(lab: Lab, accepted: list[str], steps: int) -> list[str]:
    """Return the accepted jobs that haven't ended and run nothing for 3 s.

    All the while, under half of the service is in use.
    """
    idle = set(accepted)
    end_s = time.monotonic() + IDLE_S
    while time.monotonic() < end_s:
        idle -= {r.job for runner in lab.runners for r in runner.active.values()}
        await asyncio.sleep(0.02)
    done = Counter(run.job for run in lab.runs if run.how == "done")
    wanted = dict.fromkeys(WIDE, steps)
    return sorted(job for job in idle if done[job] < wanted.get(job, 1))


if __name__ == "__main__":
    try:
        CODE = asyncio.run(asyncio.wait_for(run(), LONGEST_S))
    except Exception as error:
        print(f"can't run: {error!r}")
        CODE = 2
    sys.exit(CODE)
