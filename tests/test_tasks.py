"""Check that tasks end even if a cancellation is lost."""

import asyncio

from larkhoist.daemon.tasks import cancel_tasks


async def lose_first_cancellation():
    lost = 0
    while True:
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            lost += 1
            if lost > 1:
                raise


async def test_task_that_loses_a_cancellation_is_ended():
    task = asyncio.create_task(lose_first_cancellation())
    await asyncio.sleep(0)
    await cancel_tasks([task, None])
    assert task.cancelled()
