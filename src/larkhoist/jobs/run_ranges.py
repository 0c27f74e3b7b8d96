"""Hold a set of runs of a job in little memory."""

from bisect import bisect_right
from collections.abc import Iterable

import msgspec

__all__ = ["RunRanges"]


class RunRanges(msgspec.Struct, frozen=True, array_like=True):
    """A set of runs as ranges in ascending order, first and last run included.

    Two ranges neither overlap nor touch.
    """

    ranges: tuple[tuple[int, int], ...] = ()

    def __contains__(self, run: int) -> bool:
        place = bisect_right(self.ranges, run, key=lambda one: one[0])
        return place > 0 and run <= self.ranges[place - 1][1]

    def add(self, runs: Iterable[int]) -> "RunRanges":
        """Return the set with further runs."""
        merged: list[tuple[int, int]] = []
        for first, last in sorted([*self.ranges, *((run, run) for run in runs)]):
            if merged and first <= merged[-1][1] + 1:
                merged[-1] = (merged[-1][0], max(last, merged[-1][1]))
            else:
                merged.append((first, last))
        return RunRanges(tuple(merged))
