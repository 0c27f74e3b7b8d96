"""Let tasks write longer checkpoints and see whether a lasting one starts again."""

import asyncio
import os
from pathlib import Path

from case import Canaries, NotRunnableError, make_job_id, run_case
from cluster import KEYS, Cluster
from runner import Work

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TASKS = 94
"""The widest step of the deployment's sheet."""
CHECKPOINT_BYTES = 3000
SHORT_CHECKPOINT_BYTES = 16
NEED = {"cpu": 250, "mem_mb": 64}
"""So little that one runner has room for all tasks."""
NEVER_S = 1e6
RESTART_S = 6.0 + 3.0
"""The rule counts from 6 s after a lasting task's last run, and allows 3 s."""
WATCH_S = 40.0


async def check(cluster: Cluster, trouble: bool) -> list[str]:
    """Return whether a lasting task that failed was not started again."""
    size = CHECKPOINT_BYTES if trouble else SHORT_CHECKPOINT_BYTES
    job_id = make_job_id()
    step = {
        "count": TASKS,
        **NEED,
        "estimate_ms": 1000,
        "long_running": True,
        "checkpointing": True,
    }
    answer = await cluster.submit(
        job_id,
        [Work(NEED, NEVER_S, size)],
        {"spec": "lasting", "steps": [step]},
        priority=1,
        key=KEYS["tenant-a"],
    )
    if answer.status != 200:
        raise NotRunnableError(f"the job was answered {answer.status}")
    await asyncio.sleep(5.0)
    if len(cluster.starts) < TASKS:
        raise NotRunnableError("the lasting tasks did not all start")
    failing = f"{job_id}.0.0.0"
    runner = next(r for r in cluster.runners if failing in r.list_running())
    failed_s = cluster.get_now_s()
    runner.fail(failing)
    canaries = Canaries(cluster)
    await canaries.submit_until(failed_s + WATCH_S, 2.0)
    now_s = cluster.get_now_s()
    again = [at_s for at_s in cluster.starts[failing] if at_s > failed_s]
    away_s = (again[0] if again else now_s) - failed_s
    unserved = canaries.list_unserved()
    refused = len(cluster.store.refused)
    cluster.note(
        "result",
        away_s=round(away_s, 2),
        started_again=bool(again),
        refused_appends=refused,
        canaries=len(canaries.accepted),
        unserved=len(unserved),
    )
    print(
        f"away for {away_s:.1f} s, started again: {bool(again)}, "
        f"{refused} appends refused for their size, "
        f"{len(unserved)} of {len(canaries.accepted)} small jobs not started in time"
    )
    broken = []
    if away_s > RESTART_S:
        broken.append(
            f"LOST: a lasting task that failed was not started again for {away_s:.1f} s"
        )
    if unserved:
        broken.append(f"LOST: {len(unserved)} small jobs did not start within 7 s")
    return broken


run_case(check, FOLDER, TROUBLE, instances=3, runners=8)
