"""Append snapshots, so that a new instance need not read the whole log."""

import asyncio
import logging
from collections.abc import Callable

from returns.result import Success

from larkhoist.daemon.logs import log_event
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.log.snapshot import split_state
from larkhoist.ports.platform import SNAPSHOT_STREAM, PlatformPort

__all__ = ["SnapshotWriter"]

_logger = logging.getLogger(__name__)
PART_BYTES = 256 * 1024
PART_PAUSE_S = 0.1


class SnapshotWriter:
    """A task that appends snapshots while ``is_snapshot_writer`` returns true."""

    def __init__(
        self,
        platform: PlatformPort,
        keeper: StateKeeper,
        interval_s: float,
        is_snapshot_writer: Callable[[], bool],
    ):
        self._platform = platform
        self._keeper = keeper
        self._interval_s = interval_s
        self._is_snapshot_writer = is_snapshot_writer
        self._written_offset = 0
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start writing snapshots."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop writing snapshots."""
        await cancel_tasks([self._task])

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            has_new_records = self._keeper.state.next_offset > self._written_offset
            if has_new_records and self._is_snapshot_writer():
                await self._write()

    async def _write(self) -> None:
        offset = self._keeper.state.next_offset
        parts = split_state(self._keeper.state, PART_BYTES)
        for part in parts:
            match await self._platform.append(SNAPSHOT_STREAM, part):
                case Success(_):
                    await asyncio.sleep(PART_PAUSE_S)
                case _:
                    return
        self._written_offset = offset
        log_event(_logger, "snapshot-written", next_offset=offset, parts=len(parts))
