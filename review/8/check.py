"""Use a public queue with an unknown key to read and cancel a tenant's private job."""

import asyncio
import os
from pathlib import Path

from case import SMALL_NEED, NotRunnableError, make_job_id, run_case
from cluster import KEYS, PREFIXES, PUBLIC_PREFIX, Cluster
from runner import Work

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
UNKNOWN_KEY = "key-that-no-configuration-held"
WORK_S = 25.0


async def check(cluster: Cluster, trouble: bool) -> list[str]:
    """Return what a caller with an unknown key could do to a private job."""
    job_id = make_job_id()
    step = {"count": 2, **SMALL_NEED, "estimate_ms": int(WORK_S * 1000)}
    answer = await cluster.submit(
        job_id,
        [Work(SMALL_NEED, WORK_S)],
        {"spec": "private", "steps": [step]},
        priority=1,
        key=KEYS["tenant-a"],
    )
    if answer.status != 200:
        raise NotRunnableError(f"the job was answered {answer.status}")
    await asyncio.sleep(5.0)
    if len(cluster.starts) < 2:
        raise NotRunnableError("the job did not start")
    prefix = PUBLIC_PREFIX if trouble else PREFIXES[1]
    read = await cluster.call("GET", prefix + job_id, key=UNKNOWN_KEY, instance=1)
    cancelled = await cluster.call(
        "DELETE", prefix + job_id, key=UNKNOWN_KEY, instance=2
    )
    await asyncio.sleep(5.0)
    shown = await cluster.get_state(job_id, priority=1, key=KEYS["tenant-a"])
    stopped = [how for each in cluster.ends.values() for _, how in each]
    cluster.note(
        "result",
        read=read.status,
        read_body=read.body,
        cancelled=cancelled.status,
        shown_to_owner=shown,
        ends=stopped,
    )
    print(
        f"unknown key: GET {read.status} {read.body}, DELETE {cancelled.status}; "
        f"the job is shown as {shown}, ends {stopped}"
    )
    broken = []
    if read.status == 200:
        broken.append(f"ROUTE: a GET with a key never held was answered {read.body}")
    if cancelled.status == 200:
        broken.append("ROUTE: a DELETE with a key never held was answered 200")
    if shown == "canceled":
        broken.append(
            "LOST: the job is shown as canceled, its tenant cancelled nothing"
        )
    return broken


run_case(check, FOLDER, TROUBLE, instances=3, runners=4)
