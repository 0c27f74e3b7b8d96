"""Keep the newest list of instances, from the platform or from peers."""

import asyncio
import logging
from collections.abc import Callable

from returns.result import Success

from larkhoist.daemon.logs import log_event
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.ports.platform import InstanceList, PlatformPort

__all__ = ["ListPoller"]

_logger = logging.getLogger(__name__)


class ListPoller:
    """A task that polls the platform's list; it ignores lists that are not newer."""

    def __init__(self, platform: PlatformPort, interval_s: float):
        self._platform = platform
        self._interval_s = interval_s
        self._task: asyncio.Task | None = None
        self.listed = InstanceList()
        self.on_change: Callable[[InstanceList], None] = lambda _: None

    async def start(self) -> None:
        """Start polling."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling."""
        await cancel_tasks([self._task])

    def take(self, listed: InstanceList) -> None:
        """Replace the current list if ``listed`` is newer."""
        if listed.version <= self.listed.version:
            return
        self.listed = listed
        leaving = sum(instance.leaving for instance in listed.instances)
        log_event(
            _logger,
            "list-changed",
            version=listed.version,
            instances=len(listed.instances),
            leaving=leaving,
        )
        self.on_change(listed)

    async def _run(self) -> None:
        while True:
            match await self._platform.list_instances():
                case Success(listed):
                    self.take(listed)
            await asyncio.sleep(self._interval_s)
