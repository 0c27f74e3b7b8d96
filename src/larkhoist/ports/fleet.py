"""Define resources, listed workers and hall cordons for the staged-job scheduler."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

__all__ = ["HallCordon", "ListedTaskWorker", "Resources", "sum_resources"]


UNBOUNDED = 1_000_000
"""Result of ``count_fitting`` for something that needs no resources."""


class Resources(msgspec.Struct, frozen=True, gc=False):
    """Amounts of processor time (thousandths of a core), memory and accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def scale(self, count: int) -> "Resources":
        """Return ``count`` times this amount."""
        return Resources(
            self.cpu_milli * count, self.memory_mb * count, self.accelerators * count
        )

    def count_fitting(self, each: "Resources") -> int:
        """Return how many times ``each`` fits into this amount, at least 0.

        Uses plain comparisons, since one scheduling pass makes 100,000 calls and calls
        of ``min`` and ``max`` took half of its time.
        """
        count = UNBOUNDED
        if each.cpu_milli:
            count = self.cpu_milli // each.cpu_milli
        if each.memory_mb:
            fitting = self.memory_mb // each.memory_mb
            if fitting < count:
                count = fitting
        if each.accelerators:
            fitting = self.accelerators // each.accelerators
            if fitting < count:
                count = fitting
        return count if count > 0 else 0


def sum_resources(amounts: Sequence[Resources]) -> Resources:
    """Return the sum of many amounts without an object for each partial sum."""
    return Resources(
        sum([each.cpu_milli for each in amounts]),
        sum([each.memory_mb for each in amounts]),
        sum([each.accelerators for each in amounts]),
    )


@dataclass(frozen=True, slots=True)
class HallCordon:
    """Whether operators have cordoned a data hall.

    The workers of a cordoned hall get no new tasks; running tasks continue.
    """

    hall: str
    in_force: bool


@dataclass(frozen=True, slots=True)
class ListedTaskWorker:
    """Entry of the platform's list for one incarnation of a worker.

    ``remaining_s`` is the minimum time in seconds that a leaving worker remains.
    ``clock_ms`` is the worker's monotonic clock when it wrote the entry. ``started_ms``
    is its start time in Unix milliseconds, 0 if unknown.
    """

    name: str
    service: str
    address: str
    hall: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    leaving: bool
    remaining_s: float | None
    clock_ms: int
    started_ms: int = 0
