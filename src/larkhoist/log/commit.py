"""Batch records for the log and limit the rate of appends.

Waiting records are appended as one batch (group commit), one batch at a time. A batch
is appended again unchanged while it is unknown whether it was stored: the fold applies
each sequence number of a writer only once.
"""

from collections import deque
from dataclasses import dataclass, field

from larkhoist.log.records import Batch, Record

__all__ = ["AppendBudget", "CommitQueue"]

MAX_BATCH_RECORDS = 256


@dataclass(slots=True)
class AppendBudget:
    """A token bucket; ``rate`` is in appends per second."""

    rate: float
    burst: float
    tokens: float
    refilled_s: float

    def get_wait(self, now_s: float) -> float:
        """Return the seconds until an append is allowed."""
        self._refill(now_s)
        if self.tokens >= 1:
            return 0.0
        return (1 - self.tokens) / self.rate

    def spend(self, now_s: float) -> None:
        """Count one append."""
        self._refill(now_s)
        self.tokens -= 1

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate)
        self.refilled_s = now_s


@dataclass(slots=True)
class CommitQueue:
    """The records of one writer that the log has not confirmed yet.

    ``in_flight`` is the batch being appended, ``sequence`` the number of the last
    batch made.
    """

    writer: str
    max_waiting: int = 10_000
    waiting: deque[Record] = field(default_factory=deque)
    in_flight: Batch | None = None
    sequence: int = 0

    def add(self, record: Record) -> bool:
        """Queue ``record``; return False if the queue is full."""
        if len(self.waiting) >= self.max_waiting:
            return False
        self.waiting.append(record)
        return True

    def take_batch(self, now_ms: int) -> Batch | None:
        """Return the batch to append next: the unconfirmed one, if any, again.

        Returns None if nothing waits.
        """
        if self.in_flight is not None:
            return self.in_flight
        if not self.waiting:
            return None
        count = min(len(self.waiting), MAX_BATCH_RECORDS)
        records = tuple(self.waiting.popleft() for _ in range(count))
        self.sequence += 1
        self.in_flight = Batch(self.writer, self.sequence, now_ms, records)
        return self.in_flight

    def settle(self) -> None:
        """Record that the log has stored the batch under way."""
        self.in_flight = None
