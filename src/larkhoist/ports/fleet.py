"""State what the scheduler of staged jobs knows of listed workers and their halls."""

from dataclasses import dataclass

import msgspec

__all__ = ["HallCordon", "ListedTaskWorker", "Resources"]


UNBOUNDED = 1_000_000
"""Stands for how often something that takes no room fits."""


class Resources(msgspec.Struct, frozen=True, gc=False):
    """Hold an amount of processor (thousandths of a core), memory, accelerators."""

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
        """Return how often ``each`` fits into this amount, 0 at least.

        Plain comparisons: a pass asks 100,000 times, and ``min`` and ``max`` took half
        of the time.
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


@dataclass(frozen=True, slots=True)
class HallCordon:
    """Tell whether the workers of a data hall get no new work, as operators wish.

    What runs there goes on.
    """

    hall: str
    in_force: bool


@dataclass(frozen=True, slots=True)
class ListedTaskWorker:
    """Describe one incarnation of a worker as the platform lists it.

    ``remaining_s`` tells how long a leaving worker stays at least, in seconds.
    ``clock_ms`` is its steady clock when it wrote the entry. ``started_ms`` is its
    start time in Unix milliseconds, 0 if unknown.
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
