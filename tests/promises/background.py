"""Run a background task for the length of an ``async with`` block."""

import asyncio

__all__ = ["Background"]


class Background:
    """Run ``_run`` as a task inside an ``async with`` block."""

    _task: asyncio.Task | None = None

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
