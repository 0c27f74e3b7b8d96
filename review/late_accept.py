"""Look for a job that runs although its cancelling was answered with 410 before.

One instance of four is cut off from the store for ``CUT_S``. Meanwhile a consumer hands
a job in there, gets no success, and cancels it through another instance. Exit status: 1
if a task of such a job starts more than ``cancel_ms`` after the 410, 0 if none does. It
needs the build of the deploy file:

    PYTHONPATH=target/deps:review python3 review/late_accept.py

This is not one of the cases; REPORT.md says why.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from fakes.client import PREFIX
from fakes.instance import BOUNDS, Instance
from fakes.link import Link
from fakes.site import Site

TRIES = 4
CUT_S = 8.0
CALM_S = 3.0
STEP = {"count": 1, "cpu": 100, "mem_mb": 100, "estimate_ms": 500}


async def play(site: Site, instance: Instance, link: Link, job_id: str) -> bool:
    """Return whether the job is started too late after the 410."""
    loop = asyncio.get_running_loop()
    link.is_cut = True
    cut_s = loop.time()
    body = {"spec": job_id, "steps": [STEP]}
    posted, _ = await site.client.call(instance.http, "POST", PREFIX + job_id, body)
    other = site.instances[0].http
    status, _ = await site.client.call(other, "DELETE", PREFIX + job_id)
    cancelled_s = loop.time()
    await asyncio.sleep(cut_s + CUT_S - loop.time())
    link.mend()
    end_s, start_s = loop.time() + CALM_S, 0.0
    while loop.time() < end_s:
        await asyncio.sleep(0.01)
        if not start_s and job_id in site.begun:
            start_s = loop.time() - cancelled_s
    when = f"started {start_s:.2f} s later" if start_s else "never started"
    print(f"POST answered {posted}, DELETE answered {status}, {when}")
    return status == 410 and start_s > BOUNDS["cancel_ms"] / 1000


async def check(folder: Path) -> bool:
    """Return whether a start came too late in one of several tries."""
    site = Site(folder, folder / "record.txt", workers=3, work_s=0.5)
    try:
        await site.start()
        instance, link = await site.add_instance("edge-palermo-a-3")
        await asyncio.sleep(CALM_S)
        jobs = [f"{number + 1:016x}" for number in range(TRIES)]
        found = [await play(site, instance, link, job_id) for job_id in jobs]
        print(f"{sum(found)} of {len(found)} jobs started too late")
        return any(found)
    finally:
        await site.close()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as scratch:
        sys.exit(asyncio.run(check(Path(scratch))))
