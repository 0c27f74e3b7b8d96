"""Cancel tasks reliably."""

import asyncio
from collections.abc import Iterable

__all__ = ["cancel_tasks"]

CANCEL_RETRY_S = 0.1


async def cancel_tasks(tasks: Iterable[asyncio.Task | None]) -> None:
    """Cancel tasks repeatedly until all have ended.

    Some libraries (pynng, and ``asyncio.wait_for`` before Python 3.12) lose a
    cancellation that coincides with the end of a receive, so one is not enough.
    """
    pending = {task for task in tasks if task is not None}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)
