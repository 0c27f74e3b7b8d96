"""End tasks for certain."""

import asyncio
from collections.abc import Iterable

__all__ = ["cancel_tasks"]

CANCEL_AGAIN_S = 0.1


async def cancel_tasks(tasks: Iterable[asyncio.Task | None]) -> None:
    """Cancel tasks until all have ended.

    A cancellation that meets the end of a receive is lost inside some libraries
    (pynng, and ``asyncio.wait_for`` before Python 3.12), so that one is not enough.
    """
    left = {task for task in tasks if task is not None}
    while left:
        for task in left:
            task.cancel()
        _, left = await asyncio.wait(left, timeout=CANCEL_AGAIN_S)
