"""Tell from an entry of the journal by which shares the worth of its days was lost.

The shares of a day and its worth add up to 1. Prices below a thousandth go together.
"""

import json
import sys
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

__all__ = ["DayShares", "read_days", "render"]

LEAST_SHARE = 0.001
LEFT_OUT = ("quiet", "fresh")
"""Days without trouble, and days that were drawn anew, are not in the mean."""


@dataclass(frozen=True, slots=True)
class DayShares:
    """Hold a day's worth and what it lost, by name, as shares of all there was."""

    name: str
    worth: float
    lost: dict[str, float]

    @property
    def counts(self) -> bool:
        """Tell whether the day is a standard one with trouble."""
        return not self.name.startswith(LEFT_OUT)


def read_days(entry: str) -> list[DayShares]:
    """Return the shares of each day of an entry (the text of its file)."""
    return [_read_day(day) for day in json.loads(entry)["days"]]


def render(days: list[DayShares]) -> str:
    """Return a table of the days and the mean of the standard ones with trouble."""
    names = sorted(
        {name for day in days for name in day.lost},
        key=lambda name: -mean(day.lost.get(name, 0.0) for day in days),
    )
    troubled = [day for day in days if day.counts]
    lines = [_render_row("", [day.name for day in days], "mean")]
    worths = [f"{day.worth:.3f}" for day in days]
    lines.append(_render_row("worth", worths, f"{mean(d.worth for d in troubled):.3f}"))
    for name in names:
        values = [f"{day.lost.get(name, 0.0):.3f}" for day in days]
        total = mean(day.lost.get(name, 0.0) for day in troubled)
        lines.append(_render_row(name, values, f"{total:.3f}"))
    return "\n".join(lines)


def _read_day(day: dict) -> DayShares:
    weights = sum(weight for _, weight, _ in day["parts"])
    lost: dict[str, float] = defaultdict(float)
    for name, weight, reached in day["parts"]:
        lost[name] += weight / weights * (1 - reached)
    for name, _, price in day["prices"]:
        lost[name if price >= LEAST_SHARE else "other prices"] += price
    return DayShares(day["name"], day["G"], dict(lost))


def _render_row(name: str, values: list[str], last: str) -> str:
    columns = "".join(f"{value:>11}" for value in values)
    return f"{name[:34]:34}{columns}{last:>11}"


def main() -> None:
    """Print the table of each entry that is named."""
    for name in sys.argv[1:]:
        print(render(read_days(Path(name).read_text())))


if __name__ == "__main__":
    main()
