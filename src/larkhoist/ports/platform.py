"""Define the interface to the platform: a log with offsets and a list of instances.

Every call returns a ``Result``; an append that fails with ``APPEND_UNKNOWN`` may
have taken effect.
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
    """One record of a stream."""

    offset: int
    data: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Result of one read.

    ``oldest`` is the first offset still kept, ``end`` the next one to be assigned.
    """

    oldest: int
    end: int
    entries: tuple[LogEntry, ...]


class Instance(msgspec.Struct, frozen=True):
    """One instance on the platform's list.

    ``kind`` is ``entry``, ``worker`` or ``upstream``; ``address`` is an IP address
    with a port. A worker has ``accelerators`` and ``rack``; an upstream has
    ``slots`` and ``worker``, the worker whose accelerators its slots use; an entry
    instance has ``peer_address``, the address of its peer link.
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
    """The platform's list at one version, which may be out of date."""

    version: int = 0
    instances: tuple[Instance, ...] = ()


class PlatformPort(Protocol):
    """Client of the platform's log and list."""

    async def append(self, stream: str, data: bytes) -> Result[int, Problem]:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, from_offset: int, wait_s: float
    ) -> Result[LogPage, Problem]:
        """Read from an offset, waiting up to ``wait_s`` for a first record."""

    async def list_instances(self) -> Result[InstanceList, Problem]:
        """Return the platform's list."""
