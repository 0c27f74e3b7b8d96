"""Print the processor time and memory of an idle instance's control loop.

The number of workers and the number of instances are varied in turn.
"""

import asyncio
import time

from demo.cluster import ClusterShape, create_cluster

__all__ = ["print_control"]

HALL = "hall-a"
SAMPLE_S = 6.0
WORKER_COUNTS = (0, 16, 64, 128)
INSTANCE_COUNTS = (1, 2, 4, 8)


def print_control() -> None:
    """Print the share of a core and the peak memory for several sizes."""
    asyncio.run(_measure())


async def _measure() -> None:
    print("control of an idle hall, one instance")
    for workers in WORKER_COUNTS:
        share, peak = await _sample(workers, instances=1)
        print(f"  {workers:>4} workers: {share:>6.2%} of a core, {peak:>4.0f} MB")
    print("control of an idle hall without workers, mean over its instances")
    for instances in INSTANCE_COUNTS:
        share, peak = await _sample(0, instances)
        print(f"  {instances:>4} instances: {share:>6.2%} of a core, {peak:>4.0f} MB")


async def _sample(workers: int, instances: int) -> tuple[float, float]:
    shape = ClusterShape(halls=(HALL,), workers=workers, runners=0, instances=instances)
    cluster = create_cluster(shape)
    names = cluster.get_instances(HALL)
    metric = "larkhoist_control_cpu_seconds"
    try:
        await cluster.start()
        if workers:
            await cluster.find_owner(HALL)
        await asyncio.sleep(1.0)
        before = [await cluster.read_metric(name, metric) for name in names]
        began_s = time.monotonic()
        await asyncio.sleep(SAMPLE_S)
        after = [await cluster.read_metric(name, metric) for name in names]
        taken_s = time.monotonic() - began_s
        peak = await cluster.read_metric(names[0], "larkhoist_control_peak_bytes")
        used_s = sum(after) - sum(before)
        return used_s / taken_s / instances, peak / 2**20
    finally:
        await cluster.close()
