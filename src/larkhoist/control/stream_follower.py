"""Follow one keyed stream of the platform's log."""

import asyncio
import contextlib
import logging
from collections.abc import Iterable
from typing import Protocol

from returns.result import Failure, Success

from larkhoist.codes import Code
from larkhoist.control.backoff import Backoff
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.ports.keyed_log import KeyedLogPort, StoredRecord, StreamPage

__all__ = ["StreamFollower", "StreamSink"]

_logger = logging.getLogger(__name__)
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
"""Short, so that callers notice the end of an outage of the log soon."""
READ_FAILURE_LOG_INTERVAL_S = 5.0
"""How often a follower logs that it still can't read its stream."""


class StreamSink(Protocol):
    """A receiver of the records of a stream."""

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Replace the state by the newest record of each key."""

    def apply(self, record: StoredRecord) -> object:
        """Apply the next record."""


class StreamFollower:
    """A reader of one stream that passes its records to a sink in order.

    A pause limits the reads of a busy stream; callers that need the current state use
    ``catch_up``. Concurrent calls of it share the next read after the one in flight, so
    that a slow link carries each record once.
    """

    def __init__(
        self,
        log: KeyedLogPort,
        stream: str,
        sink: StreamSink,
        wait_s: float,
        pause_s: float = 0.0,
    ):
        self._log = log
        self.stream = stream
        self._sink = sink
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._pause_changed = asyncio.Event()
        self._position: int | None = None
        self._task: asyncio.Task | None = None
        self._load_lock = asyncio.Lock()
        self._checks: set[asyncio.Task] = set()
        self._running_check: asyncio.Task | None = None
        self._next_check: asyncio.Task | None = None
        self._is_connected = True
        self._disconnected_s = 0.0
        self._logged_s = 0.0
        self.synced_s = float("-inf")

    async def start(self) -> None:
        """Start following the stream."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following; checks under way fail."""
        await cancel_tasks([self._task, *self._checks])

    @property
    def is_connected(self) -> bool:
        """Tell whether the log answered the last read."""
        return self._is_connected

    @property
    def is_loaded(self) -> bool:
        """Tell whether the stream has been loaded."""
        return self._position is not None

    @property
    def position(self) -> int:
        """Return the next offset to be read."""
        return self._position or 0

    async def catch_up(self, timeout_s: float) -> bool:
        """Read to the current end; return False if the log does not answer in time.

        The read continues after the time-out, but later calls don't wait for it.
        """
        asked_s = asyncio.get_running_loop().time()
        if self._next_check is None:
            self._next_check = asyncio.create_task(
                self._read_after(self._running_check)
            )
            self._checks.add(self._next_check)
            self._next_check.add_done_callback(self._checks.discard)
        check = self._next_check
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.wait([check])
        except TimeoutError:
            self._running_check = self._next_check = None
            self._record_read(False, asked_s, f"no answer within {timeout_s} s")
            return False
        # Closing the follower cancels the check, but must not cancel its callers.
        return not check.cancelled() and check.result()

    async def _read_after(self, previous: asyncio.Task | None) -> bool:
        if previous is not None:
            await asyncio.wait([previous])
        if self._next_check is asyncio.current_task():
            self._running_check, self._next_check = self._next_check, None
        return await self._read_to_end()

    async def _read_to_end(self) -> bool:
        if self._position is None and not await self._load():
            return False
        while True:
            page = await self._read(0.0)
            if page is None:
                return False
            if self._position >= page.end:
                return True

    async def _run(self) -> None:
        backoff = Backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            called_s = asyncio.get_running_loop().time()
            if await self._step():
                backoff.reset()
                await self._pause()
            else:
                await backoff.wait(called_s)

    def set_pause_s(self, pause_s: float) -> None:
        """Set the pause between two reads, including the current pause."""
        self._pause_s = pause_s
        self._pause_changed.set()

    async def _pause(self) -> None:
        """Wait until the pause since the last read, by ``catch_up`` or not, is over."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while (left_s := max(began_s, self.synced_s) + self._pause_s - loop.time()) > 0:
            self._pause_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._pause_changed.wait()

    async def _step(self) -> bool:
        if self._position is None:
            return await self._load()
        # During an outage, reads don't wait for records, so that its end shows at once.
        wait_s = self._wait_s if self._is_connected else 0.0
        return await self._read(wait_s) is not None

    async def _load(self) -> bool:
        async with self._load_lock:
            return self._position is not None or await self._read_newest()

    async def _read_newest(self) -> bool:
        asked_s = asyncio.get_running_loop().time()
        match await self._log.read_newest(self.stream):
            case Success(newest):
                if not self._replace(newest.records):
                    return False
                self._position = newest.end
                self._record_read(True, asked_s)
                return True
            case Failure(problem):
                self._record_read(False, asked_s, problem)
                return False

    async def _read(self, wait_s: float) -> StreamPage | None:
        asked_s = asyncio.get_running_loop().time()
        match await self._log.read(self.stream, self._position, wait_s):
            case Success(page):
                self._take_page(page)
                self._record_read(True, asked_s)
                return page
            case Failure(problem) if problem.code is Code.HISTORY_GONE:
                log_event(_logger, "history-gone", stream=self.stream)
                self._position = None
                return None
            case Failure(problem):
                self._record_read(False, asked_s, problem)
                return None

    def _take_page(self, page: StreamPage) -> None:
        for record in page.records:
            if self._position is not None and record.offset >= self._position:
                self._apply(record)
                self._position = record.offset + 1

    def _replace(self, records: Iterable[StoredRecord]) -> bool:
        """Load the newest records; return False if the sink fails, to try again."""
        try:
            self._sink.replace(records)
        except Exception as error:
            self._log_failure("stream-not-loaded", reason=repr(error))
            return False
        return True

    def _apply(self, record: StoredRecord) -> None:
        """Apply a record; one on which the sink fails must not end the follower."""
        try:
            self._sink.apply(record)
        except Exception as error:
            self._log_failure(
                "record-not-applied",
                key=record.key,
                offset=record.offset,
                reason=repr(error),
            )

    def _log_failure(self, event: str, **fields) -> None:
        log_event(_logger, event, logging.ERROR, stream=self.stream, **fields)

    def _record_read(self, answered: bool, asked_s: float, reason=None) -> None:
        if answered:
            self.synced_s = max(self.synced_s, asked_s)
        now_s = asyncio.get_running_loop().time()
        if answered != self._is_connected:
            self._is_connected = answered
            if not answered:
                self._disconnected_s = now_s
            self._log_state(
                "stream-regained" if answered else "stream-lost", now_s, reason
            )
        elif not answered and now_s >= self._logged_s + READ_FAILURE_LOG_INTERVAL_S:
            self._log_state("stream-held-up", now_s, reason)

    def _log_state(self, event: str, now_s: float, reason) -> None:
        self._logged_s = now_s
        log_event(
            _logger,
            event,
            logging.INFO if self._is_connected else logging.WARNING,
            stream=self.stream,
            offset=self.position,
            loaded=self.is_loaded,
            lost_for_s=round(now_s - self._disconnected_s, 1),
            reason=reason,
        )
