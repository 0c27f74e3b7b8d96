"""Measure how late the event loop of the owner runs what is due."""

import asyncio
from collections import deque
from collections.abc import Callable

from larkhoist.daemon.clock import read_monotonic_s
from larkhoist.daemon.tasks import cancel_tasks

__all__ = ["LATE_S", "LoopLag", "LoopLagMonitor"]

LATE_S = 0.2
"""A loop that is later counts as late: a call may get no answer in time for it. Steps
and garbage collections take less."""
INTERVAL_S = 0.05
HISTORY_S = 5.0
"""Longer than any call to a worker takes (3 s)."""


class LoopLag:
    """The recent delays of the event loop; all times are in seconds."""

    def __init__(self):
        self._due_s = float("inf")
        self._delays: deque[tuple[float, float]] = deque()

    def expect(self, due_s: float) -> None:
        """Record when the loop should run the monitor next."""
        self._due_s = due_s

    def note_run(self, now_s: float) -> float:
        """Record that the loop runs the monitor and return how late it does."""
        lag_s = max(0.0, now_s - self._due_s)
        self._due_s = float("inf")
        self._delays.append((now_s, lag_s))
        while self._delays[0][0] < now_s - HISTORY_S:
            self._delays.popleft()
        return lag_s

    def get_longest_s(self, since_s: float, now_s: float) -> float:
        """Return the longest delay that ended after ``since_s`` or has not ended.

        Callbacks that are due after a delay may run before the monitor does.
        """
        ended_s = (lag_s for end_s, lag_s in self._delays if end_s >= since_s)
        return max(0.0, now_s - self._due_s, *ended_s)

    def was_late(self, since_s: float, now_s: float) -> bool:
        """Tell whether the loop was late at some time since ``since_s``."""
        return self.get_longest_s(since_s, now_s) > LATE_S


class LoopLagMonitor:
    """Record the delays of the running event loop; call ``handle_late`` when late."""

    def __init__(self, lag: LoopLag, handle_late: Callable[[float], None]):
        self._lag = lag
        self._handle_late = handle_late
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start measuring."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop measuring."""
        await cancel_tasks([self._task])

    async def _run(self) -> None:
        while True:
            self._lag.expect(read_monotonic_s() + INTERVAL_S)
            await asyncio.sleep(INTERVAL_S)
            now_s = read_monotonic_s()
            if self._lag.note_run(now_s) > LATE_S:
                self._handle_late(now_s)
