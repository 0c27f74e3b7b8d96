"""Keep snapshots on the log, so that a fresh instance need not read it all."""

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
    """Append a snapshot at intervals while this instance is the one to do so."""

    def __init__(
        self,
        platform: PlatformPort,
        keeper: StateKeeper,
        interval_s: float,
        is_chosen: Callable[[], bool],
    ):
        self._platform = platform
        self._keeper = keeper
        self._interval_s = interval_s
        self._is_chosen = is_chosen
        self._written_offset = 0
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to write snapshots."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop writing snapshots."""
        await cancel_tasks([self._task])

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            fresh = self._keeper.state.next_offset > self._written_offset
            if fresh and self._is_chosen():
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
