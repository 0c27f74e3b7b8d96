"""Hand in periodic jobs that run for a day, and see whether others still start."""

import asyncio
import time
from pathlib import Path

from case import SMALL_NEED, Canaries, NotRunnableError, make_job_id, run_case
from cluster import KEYS, Cluster
from runner import Work

FOLDER = Path(__file__).resolve().parent
JOBS = 4
"""Two for each tenant."""
INTERVAL_MS = 2000
TIMES = 43_200
"""A day at one time each 2 s."""
FEW_TIMES = 8
WATCH_S = 35.0
FINISH_S = 14.0


async def check(cluster: Cluster, trouble: bool) -> list[str]:
    """Return how many small jobs never started, if any."""
    canaries = Canaries(cluster)
    for _ in range(3):
        await canaries.submit()
        await asyncio.sleep(1.0)
    if len(canaries.accepted) < 3 or canaries.list_unserved():
        raise NotRunnableError("the deployment did not serve small jobs")
    times = TIMES if trouble else FEW_TIMES
    await asyncio.gather(
        *(_submit_periodic(cluster, number, times) for number in range(JOBS))
    )
    began_s = cluster.get_now_s()
    later = Canaries(cluster)
    await later.submit_until(began_s + WATCH_S, 2.0)
    await asyncio.sleep(FINISH_S)
    unserved = later.list_unserved()
    running = sum(len(runner.list_running()) for runner in cluster.runners)
    shown = {}
    for job_id in unserved[:2]:
        state = await cluster.get_state(job_id, priority=1, key=KEYS["tenant-a"])
        shown[job_id] = state
    cluster.note(
        "result",
        accepted=len(later.accepted),
        unserved=len(unserved),
        running_at_end=running,
        shown=shown,
    )
    print(f"{len(later.accepted)} accepted, {len(unserved)} not started in time")
    if not unserved:
        return []
    return [
        f"LOST: {len(unserved)} of {len(later.accepted)} accepted jobs did not start "
        f"within 7 s while {running} tasks ran on {len(cluster.runners)} runners; "
        f"shown at the end: {shown}"
    ]


async def _submit_periodic(cluster: Cluster, number: int, times: int) -> None:
    keys = list(KEYS.values())
    body = {
        "spec": "periodic",
        "steps": [{"count": 1, **SMALL_NEED, "estimate_ms": 200}],
        "times": times,
        "start_at_ms": int(time.time() * 1000) + 1000,
        "interval_ms": INTERVAL_MS,
    }
    works = [Work(SMALL_NEED, 0.2)]
    answer = await cluster.submit(
        make_job_id(), works, body, priority=2, key=keys[number % len(keys)]
    )
    if answer.status != 200:
        raise NotRunnableError(f"a periodic job was answered {answer.status}")


run_case(check, FOLDER, instances=3, runners=8)
