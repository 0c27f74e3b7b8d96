"""Learn how fast workers are from how long tasks of one step took on each.

Answers workers of unequal speed: a gang runs at the pace of its slowest member, so
that one slow worker in three makes nearly every gang of five slow.
"""

import math
from dataclasses import dataclass

__all__ = ["WorkerSpeeds"]

LEAST_WEIGHT = 0.15
"""A worker that turns slow for some seconds is known after some three tasks."""
PRIOR_SAMPLES = 1.5
"""How many samples a worker needs to be believed half: equal tasks of one step differ
by some 15 %, the workers by 30 %."""
LARGEST_SAMPLE = math.log(4)
"""A task that stood still for a while says little of the worker's pace."""


@dataclass(slots=True)
class _Mean:
    """Hold a moving mean of the logarithm of a ratio of times."""

    value: float = 0.0
    count: int = 0


class WorkerSpeeds:
    """Keep by which factor tasks take longer on a worker than elsewhere."""

    def __init__(self):
        self._workers: dict[str, _Mean] = {}

    def note(self, worker: str, took_s: float, expected_s: float) -> None:
        """Take the time of a task against what its peers took elsewhere."""
        if took_s <= 0 or expected_s <= 0:
            return
        sample = math.log(took_s / expected_s)
        sample = max(-LARGEST_SAMPLE, min(LARGEST_SAMPLE, sample))
        mean = self._workers.setdefault(worker, _Mean())
        mean.count += 1
        weight = max(LEAST_WEIGHT, 1 / mean.count)
        mean.value += weight * (sample - mean.value)

    def get_factor(self, worker: str) -> float:
        """Return the factor of a worker, 1 where nothing is known."""
        mean = self._workers.get(worker)
        if mean is None:
            return 1.0
        return math.exp(mean.value * mean.count / (mean.count + PRIOR_SAMPLES))

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that is gone."""
        self._workers.pop(worker, None)
