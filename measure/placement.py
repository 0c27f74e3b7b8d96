"""Compare the hall scheduler's placement with baselines on seeded workloads."""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

from larkhoist.scheduling.policy import SchedulingPolicy
from measure.baseline_placement import BaselineFit
from measure.replay import ReplayResult, replay_baseline, replay_hall_scheduler
from measure.workload import make_workload

__all__ = ["print_placement"]

WORKERS = 24
ACCELERATORS = 8
WORKERS_PER_RACK = 8
PROCESSES = 6
LOAD = 0.8
END_S = 3600.0
TUNING_SEEDS = (1, 2, 3)
HELD_OUT_SEEDS = (11, 12, 13)
POLICY = SchedulingPolicy()


def print_placement(
    policy: SchedulingPolicy = POLICY, load: float = LOAD, end_s: float = END_S
) -> None:
    """Print a row for each method: first the seeds used for tuning, then others."""
    for title, seeds in (("tuned", TUNING_SEEDS), ("not tuned", HELD_OUT_SEEDS)):
        print(f"placement, seeds {seeds} ({title}), load {load:.0%}")
        print(
            f"  {'way':<10} {'small p50':>9} {'p99':>6} {'max':>6} {'gang p99':>9} "
            f"{'largest p50':>11} {'p99':>6} {'max':>6} {'claim max':>9} "
            f"{'frag':>6} {'block':>6} {'lost':>6} {'moved':>6} "
            f"{'broken':>6} {'open':>5}"
        )
        for name, results in _run_all(seeds, policy, load, end_s):
            print(f"  {name:<10} {_format(results, load, end_s)}")


def _run_all(seeds, policy, load, end_s):
    methods = ["ours", *BaselineFit]
    tasks = [
        (method, seed, policy, load, end_s) for method in methods for seed in seeds
    ]
    with ProcessPoolExecutor(max_workers=PROCESSES) as pool:
        results = list(pool.map(_run_one, tasks))
    for number, method in enumerate(methods):
        name = method if method == "ours" else method.value
        yield name, results[number * len(seeds) : (number + 1) * len(seeds)]


def _run_one(task) -> ReplayResult:
    method, seed, policy, load, end_s = task
    workload = make_workload(seed, WORKERS, ACCELERATORS, load, end_s)
    if method == "ours":
        return replay_hall_scheduler(
            workload, WORKERS, ACCELERATORS, WORKERS_PER_RACK, policy
        )
    return replay_baseline(workload, WORKERS, ACCELERATORS, WORKERS_PER_RACK, method)


def _format(results: Sequence[ReplayResult], load: float, end_s: float) -> str:
    small = _gather(results, "completion", "small")
    gang = _gather(results, "wait", "gang")
    largest = _gather(results, "wait", "largest")
    claim = _gather(results, "wait", "claim")
    fragmentation = [value for r in results for value in r.fragmentation]
    blocks = [value for r in results for value in r.largest_block]
    work = WORKERS * ACCELERATORS * end_s * load * len(results)
    lost = sum(r.lost_work for r in results) / work
    return (
        f"{_pick(small, 0.5):>9.0f} {_pick(small, 0.99):>6.0f} {max(small):>6.0f} "
        f"{_pick(gang, 0.99):>9.0f} "
        f"{_pick(largest, 0.5):>11.0f} {_pick(largest, 0.99):>6.0f} "
        f"{max(largest):>6.0f} {max(claim):>9.1f} "
        f"{sum(fragmentation) / len(fragmentation):>6.3f} "
        f"{sum(blocks) / len(blocks):>6.1f} {lost:>6.1%} "
        f"{sum(r.ends['requeued RECLAIMED'] for r in results):>6} "
        f"{sum(r.broken_guarantees for r in results):>6} "
        f"{sum(r.unfinished for r in results):>5}"
    )


def _gather(results, field: str, kind: str) -> list[float]:
    return sorted(value for r in results for value in getattr(r, field)[kind]) or [0.0]


def _pick(values: Sequence[float], quantile: float) -> float:
    return values[min(len(values) - 1, int(len(values) * quantile))]
