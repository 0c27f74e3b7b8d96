"""Replay seeded days and print what they earned; ``--base`` compares in pairs."""

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from math import sqrt
from pathlib import Path
from statistics import mean, stdev

from lab.plans import PLANS, make_plan
from lab.replay import replay
from lab.result import DayResult
from larkhoist.fleet.policy import FleetPolicy

__all__ = ["main"]

STOP_S = 0.4
RESTORE_S = 0.6


def main() -> None:
    """Replay the chosen days over several processes and print a table."""
    args = _parse_arguments()
    jobs = [
        (name, workers, seed)
        for workers in args.workers
        for name in args.plan
        for seed in range(args.seeds)
    ]
    play = partial(_play, load=args.load, overrides=dict(map(_read_override, args.set)))
    with ProcessPoolExecutor(args.processes) as pool:
        rows = list(pool.map(play, jobs))
    _print_rows(rows)
    if args.save:
        Path(args.save).write_text("\n".join(map(json.dumps, rows)) + "\n")
    if args.base:
        _print_pairs(Path(args.base), rows)


def _parse_arguments():
    parser = argparse.ArgumentParser(prog="python -m lab", description=main.__doc__)
    parser.add_argument("--plan", nargs="+", choices=sorted(PLANS), default=["bursts"])
    parser.add_argument("--workers", nargs="+", type=int, default=[270])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--set", nargs="*", default=[], metavar="FIELD=VALUE")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--save", metavar="FILE")
    parser.add_argument("--base", metavar="FILE", help="rows saved before, to compare")
    return parser.parse_args()


def _read_override(text: str) -> tuple[str, float]:
    name, _, value = text.partition("=")
    return name, float(value)


def _play(job, load: float, overrides: dict[str, float]) -> dict:
    name, workers, seed = job
    policy = FleetPolicy(**{"stop_s": STOP_S, "restore_s": RESTORE_S} | overrides)
    result = replay(make_plan(name, workers, load), seed, policy)
    return {"plan": name, "workers": workers, "seed": seed, **_summarize(result)}


def _summarize(result: DayResult) -> dict[str, float]:
    row = {
        "worth": result.worth,
        "whole": result.whole_day,
        "customers": result.worst_customers,
        "wasted": result.wasted,
        "stops": result.waste.stops,
        "used": mean(result.used),
        "longest_ms": result.longest_s * 1000,
        "decide_s": result.took_s,
    }
    for name, kind in result.kinds.items():
        row[name] = kind.served
    return row


def _print_rows(rows: list[dict]) -> None:
    names = [name for name in rows[0] if name not in ("plan", "workers", "seed")]
    print(f"{'plan':>8} {'workers':>7} {'days':>4} " + _join(names))
    for plan, workers in sorted({(row["plan"], row["workers"]) for row in rows}):
        chosen = [r for r in rows if (r["plan"], r["workers"]) == (plan, workers)]
        means = [f"{mean(row[name] for row in chosen):.3f}" for name in names]
        print(f"{plan:>8} {workers:>7} {len(chosen):>4} " + _join(means))


def _join(cells: list[str]) -> str:
    return " ".join(f"{cell:>10}" for cell in cells)


def _print_pairs(base: Path, rows: list[dict]) -> None:
    before = {}
    for line in base.read_text().splitlines():
        row = json.loads(line)
        before[_get_key(row)] = row["worth"]
    gains = [r["worth"] - before[_get_key(r)] for r in rows if _get_key(r) in before]
    error = stdev(gains) / sqrt(len(gains)) if len(gains) > 1 else float("nan")
    print(f"worth against {base.name}: {mean(gains):+.4f} ({error:.4f}), {len(gains)}")


def _get_key(row: dict) -> tuple:
    return row["plan"], row["workers"], row["seed"]


if __name__ == "__main__":
    main()
