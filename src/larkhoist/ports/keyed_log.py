"""Define the interface of the staged-job scheduler to the platform's log.

A keyed stream keeps the newest record of each key permanently and older records for
a limited time. Every call returns a ``Result``; an append that fails with
``APPEND_UNKNOWN`` may have taken effect or may still do so.
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from larkhoist.problem import Problem

__all__ = [
    "AtEnd",
    "Guard",
    "KeyedLogPort",
    "KeyedRecord",
    "NewestRecords",
    "StoredRecord",
    "StreamPage",
    "WrittenBy",
]


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record to append; an empty value removes the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record of a stream with its offset there."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StreamPage:
    """Result of one read; ``end`` is the next offset to be assigned."""

    end: int
    records: tuple[StoredRecord, ...]


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key.

    The records are not a consistent snapshot: apply the records from ``end`` on as
    well.
    """

    end: int
    records: tuple[StoredRecord, ...]


@dataclass(frozen=True, slots=True)
class AtEnd:
    """Condition that the stream still ends at ``offset``."""

    offset: int


@dataclass(frozen=True, slots=True)
class WrittenBy:
    """Condition that the batch is the next one of a writer.

    Repeating a batch has no effect. Once the log has received a higher ``epoch`` of the
    writer, it refuses lower ones.
    """

    writer: str
    epoch: int
    sequence: int


Guard = AtEnd | WrittenBy


class KeyedLogPort(Protocol):
    """Client of the platform's keyed streams."""

    async def append(
        self,
        stream: str,
        records: tuple[KeyedRecord, ...],
        guard: Guard,
        timeout_s: float,
    ) -> Result[int, Problem]:
        """Append all records or none; return the end of the stream after them.

        Fails with ``APPEND_UNKNOWN`` if there is no answer within ``timeout_s``.
        Without records, only the guard takes effect: it raises the writer's epoch.
        """

    async def read(
        self, stream: str, offset: int, wait_s: float
    ) -> Result[StreamPage, Problem]:
        """Read from ``offset`` on, waiting up to ``wait_s`` for a first record.

        Fails with ``HISTORY_GONE`` if records at ``offset`` are no longer kept.
        """

    async def read_newest(self, stream: str) -> Result[NewestRecords, Problem]:
        """Return the newest record of every key."""
