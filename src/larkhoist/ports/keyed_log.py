"""State what the scheduler of staged jobs needs from the platform's log.

A keyed stream keeps the newest record of each key for good; older records stay
readable for a limited time only. Every call returns a ``Result``; an append that
fails with ``APPEND_UNKNOWN`` may have taken effect or may still do so.
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
    """Hold one record to append; an empty value drops the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Hold one record of a stream with the offset it has there."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StreamPage:
    """Hold what one read returned; ``end`` is the next offset to be given out."""

    end: int
    records: tuple[StoredRecord, ...]


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """Hold the newest record of each key.

    The records are no snapshot; reading the stream on from ``end`` corrects them.
    """

    end: int
    records: tuple[StoredRecord, ...]


@dataclass(frozen=True, slots=True)
class AtEnd:
    """Append only where the stream still ends at ``offset``."""

    offset: int


@dataclass(frozen=True, slots=True)
class WrittenBy:
    """Append as the next batch of a writer; the same batch again changes nothing.

    Once a higher ``epoch`` of the writer was seen, lower ones are refused.
    """

    writer: str
    epoch: int
    sequence: int


Guard = AtEnd | WrittenBy


class KeyedLogPort(Protocol):
    """Reach the platform's keyed streams."""

    async def append(
        self,
        stream: str,
        records: tuple[KeyedRecord, ...],
        guard: Guard,
        timeout_s: float,
    ) -> Result[int, Problem]:
        """Append all records or none; return the end of the stream after them.

        No answer within ``timeout_s`` means ``APPEND_UNKNOWN``.
        Without records, the guard alone takes effect: the epoch is raised.
        """

    async def read(
        self, stream: str, offset: int, wait_s: float
    ) -> Result[StreamPage, Problem]:
        """Read on from ``offset``, waiting up to ``wait_s`` for a first record.

        ``HISTORY_GONE`` means that ``offset`` is not kept any more.
        """

    async def read_newest(self, stream: str) -> Result[NewestRecords, Problem]:
        """Return the newest record of every key."""
