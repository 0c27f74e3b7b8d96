"""Run a case on a small deployment, and tell how it ended."""

import asyncio
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from enum import IntEnum
from pathlib import Path

from fakes.site import ZONES, Site

__all__ = ["Result", "run_case"]


class Result(IntEnum):
    """Exit status of a case."""

    HELD = 0
    BROKEN = 1
    NOT_RUN = 2


def run_case(
    check: Callable[[Site], Awaitable[Result]],
    folder: Path,
    *,
    workers: int,
    work_s: float,
    time_limit_s: float,
    instances: int = len(ZONES),
) -> None:
    """Play ``check`` on a new site and exit with its result.

    The record is written to ``folder``. A case that exceeds its time limit, or that
    fails itself, was not run.
    """

    async def play() -> Result:
        with tempfile.TemporaryDirectory() as scratch:
            record_path = folder / "record.txt"
            site = Site(Path(scratch), record_path, workers, work_s, instances)
            try:
                async with asyncio.timeout(time_limit_s):
                    await site.start()
                    return await check(site)
            finally:
                await site.close()

    try:
        result = asyncio.run(play())
    except Exception:
        traceback.print_exc()
        result = Result.NOT_RUN
    sys.exit(result)
