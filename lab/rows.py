"""Save, load, compare and print the figures of replayed days."""

from math import sqrt
from pathlib import Path
from statistics import mean, stdev

import msgspec

from lab.result import DayResult

__all__ = [
    "DayRow",
    "compare_rows",
    "load_rows",
    "make_row",
    "render_rows",
    "save_rows",
]

FIGURES = (
    "worth",
    "whole",
    "customers",
    "wasted",
    "stops",
    "crashes",
    "lost",
    "given_up",
    "used",
    "longest_ms",
    "decide_s",
    "stills",
    "still_s",
    "full_stills",
    "full_still_s",
)
LONGEST = frozenset(("still_s", "full_still_s"))
"""Figures shown as the maximum over all days; the others are shown as the mean."""


class DayRow(msgspec.Struct, frozen=True):
    """The figures of one day; ``served`` is by kind of job.

    ``crashes`` counts workers that a job crashed, ``lost`` the runs of other jobs that
    ended with them, ``given_up`` jobs that were given up though they crash no worker.

    ``longest_ms`` is the longest decision, ``decide_s`` the sum of all; both depend on
    the machine.

    ``stills`` counts steps that stood still for too long, ``still_s`` is the longest
    such period. ``full_stills`` and ``full_still_s`` are the same regardless of how
    much room was in use. Rows saved without these fields load with 0.
    """

    plan: str
    workers: int
    seed: int
    worth: float
    whole: float
    customers: float
    wasted: float
    stops: float
    used: float
    longest_ms: float
    decide_s: float
    served: dict[str, float]
    crashes: float = 0.0
    lost: float = 0.0
    given_up: float = 0.0
    stills: float = 0.0
    still_s: float = 0.0
    full_stills: float = 0.0
    full_still_s: float = 0.0

    @property
    def day(self) -> tuple[str, int, int]:
        """Return the key that pairs rows of the same day."""
        return self.plan, self.workers, self.seed


def make_row(plan: str, workers: int, seed: int, result: DayResult) -> DayRow:
    """Return the row of a replayed day."""
    return DayRow(
        plan,
        workers,
        seed,
        result.worth,
        result.earned_share,
        result.worst_customers,
        result.wasted,
        result.waste.stops,
        mean(result.used),
        result.longest_s * 1000,
        result.took_s,
        {name: kind.served for name, kind in result.kinds.items()},
        result.waste.crashes,
        result.waste.lost,
        result.given_up,
        len(result.stills.found),
        result.stills.longest_s,
        len(result.full_stills.found),
        result.full_stills.longest_s,
    )


def save_rows(path: Path, rows: list[DayRow]) -> None:
    """Write rows as JSON lines."""
    path.write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))


def load_rows(path: Path) -> list[DayRow]:
    """Read rows written by ``save_rows``."""
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=DayRow) for line in lines]


def render_rows(rows: list[DayRow]) -> str:
    """Return a table of means, or maxima for ``LONGEST``, by plan and worker count."""
    kinds = list(dict.fromkeys(kind for row in rows for kind in row.served))
    lines = [f"{'plan':>8} {'workers':>7} {'days':>4} " + _join([*FIGURES, *kinds])]
    for plan, workers in sorted({(row.plan, row.workers) for row in rows}):
        chosen = [row for row in rows if (row.plan, row.workers) == (plan, workers)]
        cells = [_aggregate(name, chosen) for name in FIGURES]
        texts = [f"{cell:.3f}" for cell in cells]
        texts += [_render_served(kind, chosen) for kind in kinds]
        lines.append(f"{plan:>8} {workers:>7} {len(chosen):>4} " + _join(texts))
    return "\n".join(lines)


def compare_rows(base: list[DayRow], rows: list[DayRow]) -> str:
    """Return the mean gain over the days in both lists, with its standard error."""
    before = {row.day: row.worth for row in base}
    gains = [row.worth - before[row.day] for row in rows if row.day in before]
    if not gains:
        return "no day in common"
    error = stdev(gains) / sqrt(len(gains)) if len(gains) > 1 else float("nan")
    return f"worth {mean(gains):+.4f}, standard error {error:.4f}, {len(gains)} days"


def _aggregate(name: str, rows: list[DayRow]) -> float:
    take = max if name in LONGEST else mean
    return take(getattr(row, name) for row in rows)


def _render_served(kind: str, rows: list[DayRow]) -> str:
    """Return the mean share served to a kind, a dash if the plan lacks the kind."""
    served = [row.served[kind] for row in rows if kind in row.served]
    return f"{mean(served):.3f}" if served else "-"


def _join(cells: list[str]) -> str:
    return " ".join(f"{cell:>12}" for cell in cells)
