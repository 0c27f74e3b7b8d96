"""Replay seeded days and print their scores; ``--base`` compares day by day."""

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from lab.plans import PLANS, make_plan
from lab.replay import replay
from lab.rows import (
    DayRow,
    compare_rows,
    load_rows,
    make_row,
    render_rows,
    save_rows,
)
from larkhoist.fleet.policy import FleetPolicy

__all__ = ["main"]

STOP_S = 0.4
RESTORE_S = 0.6


@dataclass(frozen=True, slots=True)
class _Day:
    """A plan, a number of workers and a seed that select one day to replay."""

    plan: str
    workers: int
    seed: int


def main() -> None:
    """Replay the chosen days over several processes and print a table."""
    args = _parse_arguments()
    days = [
        _Day(plan, workers, seed)
        for workers in args.workers
        for plan in args.plan
        for seed in range(args.seeds)
    ]
    replay_day = partial(
        _replay_day,
        load=args.load,
        policy=_make_policy(args.set),
        known_speeds=args.known_speeds,
    )
    with ProcessPoolExecutor(args.processes) as pool:
        rows = list(pool.map(replay_day, days))
    print(render_rows(rows))
    if args.save:
        save_rows(args.save, rows)
    if args.base:
        print(f"against {args.base.name}: {compare_rows(load_rows(args.base), rows)}")


def _parse_arguments():
    parser = argparse.ArgumentParser(prog="python -m lab", description=main.__doc__)
    parser.add_argument("--plan", nargs="+", choices=sorted(PLANS), default=["bursts"])
    parser.add_argument("--workers", nargs="+", type=int, default=[270])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument(
        "--set",
        nargs="*",
        default=[],
        metavar="FIELD=VALUE",
        help="fields of the policy to change",
    )
    parser.add_argument(
        "--known-speeds",
        action="store_true",
        help="give the scheduler the workers' factors from the start",
    )
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--save", type=Path, metavar="FILE")
    parser.add_argument(
        "--base", type=Path, metavar="FILE", help="rows saved before, to compare"
    )
    return parser.parse_args()


def _make_policy(changes: list[str]) -> FleetPolicy:
    """Return the policy with each FIELD=VALUE of ``changes`` applied."""
    fields = {"stop_s": STOP_S, "restore_s": RESTORE_S}
    for change in changes:
        name, _, value = change.partition("=")
        if name not in FleetPolicy.__dataclass_fields__:
            raise SystemExit(f"--set {change}: no field {name}; see FleetPolicy")
        try:
            fields[name] = float(value)
        except ValueError:
            raise SystemExit(f"--set {change}: {value!r} is no number") from None
    return FleetPolicy(**fields)


def _replay_day(
    day: _Day, load: float, policy: FleetPolicy, *, known_speeds: bool
) -> DayRow:
    plan = make_plan(day.plan, day.workers, load)
    result = replay(plan, day.seed, policy, known_speeds=known_speeds)
    return make_row(day.plan, day.workers, day.seed, result)


if __name__ == "__main__":
    main()
