"""Decide when an instance may append, within a counted budget.

Records wait together and leave as one batch (group commit). One batch is under
way at a time; a batch whose fate is not known is appended again as it is, since
the fold takes a sequence number once.
"""

from collections import deque
from dataclasses import dataclass, field

from larkhoist.log.records import Batch, Record

__all__ = ["AppendBudget", "CommitQueue"]

MAX_BATCH_RECORDS = 256


@dataclass(slots=True)
class AppendBudget:
    """Hold a token bucket; ``rate`` is in appends a second."""

    rate: float
    burst: float
    tokens: float
    refilled_s: float

    def get_wait(self, now_s: float) -> float:
        """Return the seconds until one append may be made."""
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
    """Hold the records of one writer until the log has kept them."""

    writer: str
    max_waiting: int = 10_000
    waiting: deque[Record] = field(default_factory=deque)
    under_way: Batch | None = None
    sequence: int = 0

    def add(self, record: Record) -> bool:
        """Queue ``record``; return False where the queue is full."""
        if len(self.waiting) >= self.max_waiting:
            return False
        self.waiting.append(record)
        return True

    def take_batch(self, now_ms: int) -> Batch | None:
        """Return the batch to append next, the unsettled one first."""
        if self.under_way is not None:
            return self.under_way
        if not self.waiting:
            return None
        count = min(len(self.waiting), MAX_BATCH_RECORDS)
        records = tuple(self.waiting.popleft() for _ in range(count))
        self.sequence += 1
        self.under_way = Batch(self.writer, self.sequence, now_ms, records)
        return self.under_way

    def settle(self) -> None:
        """Note that the batch under way is on the log."""
        self.under_way = None
