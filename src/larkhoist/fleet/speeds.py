"""Learn how fast racks are from how long the tasks of one queue took there."""

import math
from dataclasses import dataclass

__all__ = ["RackSpeeds"]

LEAST_WEIGHT = 0.1
PRIOR_SAMPLES = 4.0
"""How many samples a rack needs to be believed half."""


@dataclass(slots=True)
class _Mean:
    """Hold a moving mean of the logarithm of a ratio of times."""

    value: float = 0.0
    count: int = 0


class RackSpeeds:
    """Keep by which factor tasks take longer in a rack than elsewhere."""

    def __init__(self):
        self._racks: dict[str, _Mean] = {}

    def note(self, rack: str, took_s: float, expected_s: float) -> None:
        """Take the time of a task against what its queue's tasks take."""
        if took_s <= 0 or expected_s <= 0:
            return
        mean = self._racks.setdefault(rack, _Mean())
        mean.count += 1
        weight = max(LEAST_WEIGHT, 1 / mean.count)
        mean.value += weight * (math.log(took_s / expected_s) - mean.value)

    def get_factor(self, rack: str) -> float:
        """Return the factor of a rack, 1 where nothing is known."""
        mean = self._racks.get(rack)
        if mean is None:
            return 1.0
        return math.exp(mean.value * mean.count / (mean.count + PRIOR_SAMPLES))
