"""Fill all accelerators with lasting tasks, then claim a guaranteed share."""

import asyncio
import os
from pathlib import Path

from case import NotRunnableError, make_job_id, run_case
from cluster import KEYS, Cluster
from runner import CAPACITY, Work

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 8
LENT_NEED = {"cpu": 2800, "mem_mb": 11000, "gpu": 1}
CLAIMED_NEED = {"cpu": 3700, "mem_mb": 11000, "gpu": 4}
"""Both are tasks of the sheet: difficulty-check and colour-proof."""
CLAIMED_TASKS = 2
"""Two tasks of 4 GPUs: just the tenant's guarantee of 8."""
NEVER_S = 1e6
RECLAIM_S = 3.4
WATCH_S = 30.0


async def check(cluster: Cluster, trouble: bool) -> list[str]:
    """Return whether the guaranteed job did not begin in time."""
    lent = RUNNERS * CAPACITY["gpu"]
    step = {
        "count": lent,
        **LENT_NEED,
        "estimate_ms": 60_000,
        "long_running": trouble,
    }
    answer = await cluster.submit(
        make_job_id(),
        [Work(LENT_NEED, NEVER_S if trouble else 60.0)],
        {"spec": "lent", "steps": [step]},
        priority=2,
        key=KEYS["tenant-b"],
    )
    if answer.status != 200:
        raise NotRunnableError(f"the first job was answered {answer.status}")
    await asyncio.sleep(8.0)
    running = sum(len(runner.list_running()) for runner in cluster.runners)
    if running < lent:
        raise NotRunnableError(f"only {running} of {lent} tasks run")
    claim = make_job_id()
    step = {"count": CLAIMED_TASKS, **CLAIMED_NEED, "estimate_ms": 2500}
    answer = await cluster.submit(
        claim,
        [Work(CLAIMED_NEED, 2.5)],
        {"spec": "claim", "steps": [step]},
        priority=0,
        key=KEYS["tenant-a"],
    )
    if answer.status != 200:
        raise NotRunnableError(f"the guaranteed job was answered {answer.status}")
    accepted_s = cluster.get_now_s()
    await asyncio.sleep(WATCH_S)
    state = await cluster.get_state(claim, priority=0, key=KEYS["tenant-a"])
    names = [f"{claim}.0.0.{index}" for index in range(CLAIMED_TASKS)]
    begun = [
        cluster.starts[name][0] - accepted_s for name in names if name in cluster.starts
    ]
    late = [
        name
        for name in names
        if cluster.starts.get(name, [1e9])[0] > accepted_s + RECLAIM_S
    ]
    cluster.note("result", lent_running=running, begun_after_s=begun, state=state)
    print(
        f"{running} of {lent} GPUs lent; {len(begun)} of {CLAIMED_TASKS} guaranteed "
        f"tasks began, after {[round(s, 2) for s in begun]} s; state {state}"
    )
    if not late:
        return []
    return [
        f"RECLAIM: {len(late)} of {CLAIMED_TASKS} tasks of a job within its tenant's "
        f"guarantee had not begun {RECLAIM_S} s after its acceptance; after "
        f"{WATCH_S:.0f} s it is shown as {state}"
    ]


run_case(check, FOLDER, TROUBLE, instances=3, runners=RUNNERS)
