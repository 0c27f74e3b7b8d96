"""Follow the platform's log, or the peers while the platform is unreachable."""

import asyncio
import logging

from returns.result import Success

from larkhoist.daemon.logs import log_event
from larkhoist.daemon.peer_link import PeerLink
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.log.snapshot import SnapshotAssembler, decode_part
from larkhoist.ports.platform import (
    MAIN_STREAM,
    SNAPSHOT_STREAM,
    LogPage,
    PlatformPort,
)

__all__ = ["LogFollower"]

_logger = logging.getLogger(__name__)
RETRY_S = 0.2


class LogFollower:
    """A task that reads the log and folds its entries into the state."""

    def __init__(
        self,
        platform: PlatformPort,
        keeper: StateKeeper,
        peers: PeerLink,
        wait_s: float,
    ):
        self._platform = platform
        self._keeper = keeper
        self._peers = peers
        self._wait_s = wait_s
        self._task: asyncio.Task | None = None
        self.reached_end = False
        self.platform_up = False
        self._log_end = 0

    @property
    def lag(self) -> int:
        """Return the number of entries known to be on the log but not yet folded."""
        return max(0, self._log_end - self._keeper.state.next_offset)

    async def start(self) -> None:
        """Start following the log."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        await cancel_tasks([self._task])

    async def catch_up(self) -> bool:
        """Read the log to its end now.

        Return False if it cannot be read or was trimmed past the state.
        """
        while True:
            next_offset = self._keeper.state.next_offset
            match await self._platform.read(MAIN_STREAM, next_offset, 0.0):
                case Success(page) if page.oldest <= next_offset:
                    self._keeper.fold(page.entries)
                    if self._keeper.state.next_offset >= page.end:
                        return True
                case _:
                    return False

    async def _run(self) -> None:
        await self._load_snapshot()
        while True:
            try:
                await self._follow_once()
            except Exception:
                _logger.exception("follow-failed")
                await asyncio.sleep(RETRY_S)

    async def _follow_once(self) -> None:
        next_offset = self._keeper.state.next_offset
        wait_s = self._wait_s if self.reached_end else 0.0
        result = await self._platform.read(MAIN_STREAM, next_offset, wait_s)
        match result:
            case Success(page):
                self._set_platform_up(True)
                await self._take_page(page)
            case _:
                self._set_platform_up(False)
                await self._catch_up_from_peers()
                await asyncio.sleep(RETRY_S)

    async def _take_page(self, page: LogPage) -> None:
        state = self._keeper.state
        self._log_end = page.end
        if page.oldest > state.next_offset:
            await self._recover_from_gap(page)
            return
        if page.end < state.next_offset:
            # The state may hold entries from a peer that were appended after this
            # page was read. If the log stays shorter, it has lost records; what was
            # folded is not undone.
            log_event(
                _logger,
                "log-shorter-than-state",
                logging.ERROR,
                end=page.end,
                next_offset=state.next_offset,
            )
            await asyncio.sleep(RETRY_S)
            return
        self._keeper.fold(page.entries)
        self.reached_end |= self._keeper.state.next_offset >= page.end

    async def _recover_from_gap(self, page: LogPage) -> None:
        log_event(
            _logger,
            "log-trimmed-past-state",
            logging.WARNING,
            oldest=page.oldest,
            next_offset=self._keeper.state.next_offset,
        )
        await self._load_snapshot()
        if self._keeper.state.next_offset < page.oldest:
            await self._catch_up_from_peers()
        if self._keeper.state.next_offset < page.oldest:
            self.reached_end = False
            await asyncio.sleep(RETRY_S)

    async def _load_snapshot(self) -> None:
        assembler = SnapshotAssembler()
        offset = 0
        while True:
            result = await self._platform.read(SNAPSHOT_STREAM, offset, 0.0)
            match result:
                case Success(page):
                    for entry in page.entries:
                        assembler.add(decode_part(entry.data))
                        offset = entry.offset + 1
                    if not page.entries:
                        break
                case _:
                    self._set_platform_up(False)
                    return
        newest = assembler.newest
        if newest is not None and self._keeper.adopt(newest):
            log_event(_logger, "snapshot-loaded", next_offset=newest.next_offset)

    async def _catch_up_from_peers(self) -> None:
        reply = await self._peers.fetch_tail(self._keeper.state.next_offset)
        if reply is None:
            return
        if reply.state:
            self._keeper.adopt_bytes(reply.state)
        self._keeper.fold(reply.entries)

    def _set_platform_up(self, up: bool) -> None:
        if up != self.platform_up:
            log_event(_logger, "platform-up" if up else "platform-down")
        self.platform_up = up
