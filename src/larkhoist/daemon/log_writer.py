"""Append records to the platform's log in batches, within a rate limit."""

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable

from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.metrics import Metrics
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.log.commit import AppendBudget, CommitQueue
from larkhoist.log.records import Record, encode_batch
from larkhoist.ports.platform import MAIN_STREAM, PlatformPort
from larkhoist.problem import Problem

__all__ = ["LogWriter"]

_logger = logging.getLogger(__name__)
APPEND_BURST = 4.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
RETRY_AFTER_S = 2.0


class LogWriter:
    """A task that appends the queued records of this instance."""

    def __init__(
        self,
        platform: PlatformPort,
        writer: str,
        metrics: Metrics,
        get_rate: Callable[[], float],
    ):
        self._platform = platform
        self._queue = CommitQueue(writer)
        self._metrics = metrics
        self._get_rate = get_rate
        self._futures: deque[asyncio.Future] = deque()
        self._in_flight_futures: list[asyncio.Future] = []
        self._added = asyncio.Event()
        self._task: asyncio.Task | None = None
        self.failing = False

    async def start(self) -> None:
        """Start appending."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop appending.

        Records that still wait are lost; ``commit`` reports it at its time-out.
        """
        await cancel_tasks([self._task])

    async def flush(self, timeout_s: float) -> None:
        """Wait until the records queued so far are on the log, or for the time-out."""
        pending = [*self._in_flight_futures, *self._futures]
        if pending:
            await asyncio.wait(pending, timeout=timeout_s)

    def count_waiting(self) -> int:
        """Return the number of records that are queued or being appended."""
        return len(self._futures) + len(self._in_flight_futures)

    def add(self, record: Record) -> asyncio.Future:
        """Queue a record and return a future of its offset.

        The future is already cancelled if the queue is full.
        """
        future = asyncio.get_running_loop().create_future()
        if not self._queue.add(record):
            future.cancel()
            return future
        self._futures.append(future)
        self._added.set()
        return future

    async def commit(self, record: Record, timeout_s: float) -> Result[int, Problem]:
        """Append a record and return its offset.

        ``LOG_UNAVAILABLE`` means that the record is not on the log and never will
        be; ``APPEND_UNKNOWN`` means that it may be on the log, now or later.
        """
        future = self.add(record)
        try:
            return Success(await asyncio.wait_for(asyncio.shield(future), timeout_s))
        except (TimeoutError, asyncio.CancelledError) as error:
            withdrawn = self._withdraw(future)
            if isinstance(error, asyncio.CancelledError) and not future.cancelled():
                raise
        code = Code.LOG_UNAVAILABLE if withdrawn else Code.APPEND_UNKNOWN
        return Failure(Problem(code, retry_after_s=RETRY_AFTER_S))

    def _withdraw(self, future: asyncio.Future) -> bool:
        if future.cancelled():
            return True
        try:
            index = self._futures.index(future)
        except ValueError:
            return False
        del self._futures[index]
        del self._queue.waiting[index]
        return True

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        rate = self._get_rate()
        budget = AppendBudget(rate, APPEND_BURST, APPEND_BURST, loop.time())
        backoff_s = FIRST_BACKOFF_S
        while True:
            await self._added.wait()
            budget.rate = self._get_rate()
            await asyncio.sleep(budget.get_wait(loop.time()))
            if await self._append_batch(budget):
                backoff_s = FIRST_BACKOFF_S
            else:
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _append_batch(self, budget: AppendBudget) -> bool:
        is_new_batch = self._queue.in_flight is None
        batch = self._queue.take_batch(int(time.time() * 1000))
        if batch is None:
            self._added.clear()
            return True
        if is_new_batch:
            count = len(batch.records)
            self._in_flight_futures = [self._futures.popleft() for _ in range(count)]
        budget.spend(asyncio.get_running_loop().time())
        result = await self._platform.append(MAIN_STREAM, encode_batch(batch))
        match result:
            case Success(offset):
                self._resolve_batch(offset)
                return True
            case Failure(problem):
                self._note_failure(problem)
                return False

    def _resolve_batch(self, offset: int) -> None:
        self.failing = False
        self._metrics.count_append("kept")
        self._queue.settle()
        for future in self._in_flight_futures:
            if not future.done():
                future.set_result(offset)
        self._in_flight_futures = []

    def _note_failure(self, problem: Problem) -> None:
        if not self.failing:
            log_event(_logger, "append-failed", logging.WARNING, reason=problem)
        self.failing = True
        self._metrics.count_append(problem.code.name.lower())
