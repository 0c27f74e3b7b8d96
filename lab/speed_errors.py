"""Replay seeded days and print how far learnt speeds are from the drawn ones.

The scale of the factors can't be measured, so the errors are also given relative to the
median of all workers' ratios.
"""

import argparse
import math
from statistics import median

from lab.__main__ import RESTORE_S, STOP_S
from lab.plans import PLANS, make_plan
from lab.replay import replay
from lab.result import SpeedSample
from lab.workers import draw_speeds
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.speeds import SpeedFactor

__all__ = ["main"]

RESTORED_SAMPLES = 10


def main() -> None:
    """Print a line for each day and sampling time."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--plan", choices=sorted(PLANS), default="uneven")
    parser.add_argument("--workers", type=int, default=88)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument(
        "--restored", action="store_true", help="begin with a record of the drawn ones"
    )
    args = parser.parse_args()
    plan = make_plan(args.plan, args.workers)
    for seed in range(args.seeds):
        restored = _make_record(plan, seed) if args.restored else {}
        result = replay(
            plan, seed, FleetPolicy(stop_s=STOP_S, restore_s=RESTORE_S), restored
        )
        for sample in result.speeds:
            print(f"seed {seed} {_describe(sample, args.workers)}")
        print(f"seed {seed} worth {result.worth:.3f}")


def _make_record(plan, seed: int) -> dict[str, SpeedFactor]:
    return {
        f"w{number}": SpeedFactor(factor, RESTORED_SAMPLES)
        for number, factor in enumerate(draw_speeds(plan, seed))
    }


def _describe(sample: SpeedSample, workers: int) -> str:
    logs = [math.log(ratio) for ratio in sample.ratios] or [0.0]
    middle = median(logs)
    relative = sorted(abs(one - middle) for one in logs)
    absolute = sorted(abs(one) for one in logs)
    return (
        f"at {sample.at_s:4.0f} s: known {len(sample.ratios)} of {workers}, uneven "
        f"{sample.is_uneven}, scale {math.exp(middle):.3f}; relative to it mean "
        f"{_format(sum(relative) / len(relative))} p90 "
        f"{_format(relative[9 * len(relative) // 10])} worst {_format(relative[-1])}; "
        f"absolute mean {_format(sum(absolute) / len(absolute))} worst "
        f"{_format(absolute[-1])}"
    )


def _format(log_error: float) -> str:
    return f"{100 * (math.exp(log_error) - 1):.0f} %"


if __name__ == "__main__":
    main()
