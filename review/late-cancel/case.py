"""Cancel a job whose hand-over an instance without the store left open."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.lab import LONGEST_S, Lab  # noqa: E402
from standins2.runner import Work  # noqa: E402

JOBS = [f"{number:016x}" for number in range(1, 5)]
CUT_S = 5.5
CALM_S = 5.0
DEADLINE_MS = 1000
STEP = {"count": 1, "cpu": 3700, "mem_mb": 7600, "gpu": 1, "estimate_ms": 2500}


async def run() -> int:
    """Return 1 if a cancelled job is started late, 0 if not, 2 if it can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    async with Lab(FOLDER) as lab:
        await lab.wait_until_ready()
        await asyncio.sleep(3)
        owners = [one for one in lab.instances if is_owner(one)]
        if len(owners) != 1:
            return 2
        others = [i for i, one in enumerate(lab.instances) if one is not owners[0]]
        late = []
        for job in JOBS:
            delay_s = await play(lab, job, others, trouble)
            if delay_s is not None and delay_s > lab.bounds["cancel_ms"] / 1000:
                late.append((job, round(delay_s, 3)))
        lab.note("verdict", late=late)
        print(f"{len(late)} of {len(JOBS)} jobs started over 3 s after the 410: {late}")
        if late:
            print("UNASKED broken")
        return 1 if late else 0


def is_owner(instance) -> bool:
    """Tell whether the instance holds the tenure, by its log."""
    return any("event=tenure-gained" in line for line in instance.lines)


async def play(lab: Lab, job: str, others: list[int], trouble: bool) -> float | None:
    """Return how long after the answer to its cancelling a job was started."""
    cut, sound = others
    lab.work[job] = Work(2.5)
    link = lab.instances[cut].link
    cut_s = time.monotonic()
    if trouble:
        link.cut()
        lab.note("cut", name=lab.instances[cut].name)
    body = {"spec": "live", "steps": [STEP]}
    posted, _ = await lab.call("POST", job, body, cut, DEADLINE_MS)
    status, _ = await lab.call("DELETE", job, at=sound)
    cancelled_s = time.monotonic()
    await asyncio.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
    link.mend()
    lab.note("mended", name=lab.instances[cut].name)
    await asyncio.sleep(CALM_S)
    began = [run.began_s for run in lab.runs if run.job == job]
    state = await lab.get_state(job, sound)
    lab.note("job", job=job, posted=posted, cancelled=status, state=state)
    if status not in (200, 410) or not began:
        return None
    return began[0] - cancelled_s


if __name__ == "__main__":
    try:
        CODE = asyncio.run(asyncio.wait_for(run(), LONGEST_S))
    except Exception as error:
        print(f"can't run: {error!r}")
        CODE = 2
    sys.exit(CODE)
