"""State what the system needs from the platform: a log with offsets and a list.

Every call returns a ``Result``; a failed append with the code
``APPEND_UNKNOWN`` may have taken effect.
"""

from typing import Protocol

import msgspec
from returns.result import Result

from larkhoist.problem import Problem

__all__ = [
    "Instance",
    "InstanceList",
    "LogEntry",
    "LogPage",
    "PlatformPort",
    "MAIN_STREAM",
    "SNAPSHOT_STREAM",
]

MAIN_STREAM = "main"
SNAPSHOT_STREAM = "snapshots"


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold one record of a stream."""

    offset: int
    data: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Hold what one read returned.

    ``oldest`` is the first offset still kept and ``end`` the next one to be used.
    """

    oldest: int
    end: int
    entries: tuple[LogEntry, ...]


class Instance(msgspec.Struct, frozen=True):
    """Describe one instance on the platform's list.

    ``kind`` is ``entry``, ``worker`` or ``upstream``; ``address`` is an IP number
    with a port; a worker has accelerators and a rack, an upstream has slots and
    the worker whose accelerators its slots use, an entry instance has the address
    of its peer link.
    """

    kind: str
    name: str
    hall: str
    address: str
    leaving: bool = False
    rack: str = ""
    accelerators: int = 0
    service: str = ""
    slots: int = 0
    connections: int = 0
    worker: str = ""
    peer_address: str = ""


class InstanceList(msgspec.Struct, frozen=True):
    """Hold the platform's list at one version; it may be old."""

    version: int = 0
    instances: tuple[Instance, ...] = ()


class PlatformPort(Protocol):
    """Reach the platform's log and list."""

    async def append(self, stream: str, data: bytes) -> Result[int, Problem]:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, from_offset: int, wait_s: float
    ) -> Result[LogPage, Problem]:
        """Read from an offset, waiting up to ``wait_s`` for a first record."""

    async def list_instances(self) -> Result[InstanceList, Problem]:
        """Return the platform's list."""
