"""Run one case against a small deployment and turn its result into an exit code."""

import asyncio
import signal
import sys
import traceback
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from cluster import KEYS, Cluster
from runner import Work

__all__ = ["Canaries", "NotRunnableError", "make_job_id", "run_case"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 110.0
SMALL_NEED = {"cpu": 500, "mem_mb": 64}
UNSERVED_S = 3.0
CALM_BEFORE_S = 4.0

Check = Callable[[Cluster, bool], Awaitable[list[str]]]


class NotRunnableError(Exception):
    """The case could not run, so that its result says nothing."""


@dataclass(slots=True)
class Canaries:
    """Small jobs of one task each, handed in one after the other.

    ``accepted`` holds when each was answered 200, in seconds.
    """

    cluster: Cluster
    accepted: dict[str, float] = field(default_factory=dict)

    async def submit(self) -> str:
        """Hand in one more; return its id, whatever the answer."""
        job_id = make_job_id()
        body = {
            "spec": "canary",
            "steps": [{"count": 1, **SMALL_NEED, "estimate_ms": 300}],
        }
        works = [Work(SMALL_NEED, 0.3)]
        answer = await self.cluster.submit(
            job_id, works, body, priority=1, key=KEYS["tenant-a"]
        )
        if answer.status == 200:
            self.accepted[job_id] = self.cluster.get_now_s()
        return job_id

    async def submit_until(self, until_s: float, interval_s: float) -> None:
        """Hand in one after each interval until a time of the cluster."""
        while self.cluster.get_now_s() < until_s:
            await self.submit()
            await asyncio.sleep(interval_s)

    def list_unserved(self) -> list[str]:
        """Return the accepted ones that had nothing running for longer than allowed.

        The rule allows 3 s, and asks that these and the 4 s before them are calm. Both
        are counted from the acceptance.
        """
        now_s = self.cluster.get_now_s()
        allowed_s = UNSERVED_S + CALM_BEFORE_S
        return [
            job_id
            for job_id, accepted_s in self.accepted.items()
            if self.get_started_s(job_id, now_s) - accepted_s > allowed_s
        ]

    def get_started_s(self, job_id: str, otherwise_s: float) -> float:
        """Return when a job's task first started, or ``otherwise_s`` if it did not."""
        starts = self.cluster.starts.get(f"{job_id}.0.0.0")
        return starts[0] if starts else otherwise_s


def make_job_id() -> str:
    """Return an id as consumers choose it."""
    return uuid.uuid4().hex[:16]


def run_case(check: Check, folder: Path, trouble: bool, **cluster_settings) -> None:
    """Start the deployment, run the check, end everything and exit with the code.

    Without ``trouble`` the check leaves the disruption out.
    """
    code = asyncio.run(_run(check, folder, trouble, cluster_settings))
    sys.exit(code)


async def _run(check: Check, folder: Path, trouble: bool, settings: dict) -> int:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    cluster = Cluster(folder / "record.txt", **settings)
    try:
        async with asyncio.timeout(LONGEST_S):
            await cluster.start()
            broken = await check(cluster, trouble)
    except NotRunnableError as error:
        print(f"not run: {error}")
        return NOT_RUN
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return NOT_RUN
    finally:
        await cluster.close()
    for line in broken:
        print(f"broken: {line}")
    print(f"trouble={int(trouble)} result={'broken' if broken else 'held'}")
    return BROKEN if broken else HELD
