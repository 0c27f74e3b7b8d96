"""Report from a journal entry how much each cause lowered the score of its days.

The score of a day and its losses add up to 1. Prices (penalties) below 0.001 are
added up as "other prices".
"""

import json
import sys
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

__all__ = ["DayShares", "read_days", "render"]

MIN_LISTED_PRICE = 0.001
EXCLUDED_PREFIXES = ("quiet", "fresh")
"""Name prefixes of days without faults and of newly drawn days; not in the mean."""


@dataclass(frozen=True, slots=True)
class DayShares:
    """The score of a day and its losses by cause, as shares of the maximum of 1."""

    name: str
    score: float
    lost: dict[str, float]

    @property
    def in_mean(self) -> bool:
        """Return whether the day is a standard one with faults."""
        return not self.name.startswith(EXCLUDED_PREFIXES)


def read_days(entry: str) -> list[DayShares]:
    """Return the shares of each day in ``entry``, the JSON text of a journal entry."""
    return [_read_day(day) for day in json.loads(entry)["days"]]


def render(days: list[DayShares]) -> str:
    """Return a table of the days, with the mean of the standard days with faults."""
    names = sorted(
        {name for day in days for name in day.lost},
        key=lambda name: -mean(day.lost.get(name, 0.0) for day in days),
    )
    in_mean_days = [day for day in days if day.in_mean]
    lines = [_render_row("", [day.name for day in days], "mean")]
    scores = [f"{day.score:.3f}" for day in days]
    lines.append(
        _render_row("worth", scores, f"{mean(d.score for d in in_mean_days):.3f}")
    )
    for name in names:
        values = [f"{day.lost.get(name, 0.0):.3f}" for day in days]
        total = mean(day.lost.get(name, 0.0) for day in in_mean_days)
        lines.append(_render_row(name, values, f"{total:.3f}"))
    return "\n".join(lines)


def _read_day(day: dict) -> DayShares:
    weights = sum(weight for _, weight, _ in day["parts"])
    lost: dict[str, float] = defaultdict(float)
    for name, weight, reached in day["parts"]:
        lost[name] += weight / weights * (1 - reached)
    for name, _, price in day["prices"]:
        lost[name if price >= MIN_LISTED_PRICE else "other prices"] += price
    return DayShares(day["name"], day["G"], dict(lost))


def _render_row(name: str, values: list[str], last: str) -> str:
    columns = "".join(f"{value:>11}" for value in values)
    return f"{name[:34]:34}{columns}{last:>11}"


def main() -> None:
    """Print a table for each journal entry file given as an argument."""
    for name in sys.argv[1:]:
        print(render(read_days(Path(name).read_text())))


if __name__ == "__main__":
    main()
