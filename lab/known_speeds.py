"""Give the scheduler the factors drawn for a day, so that nothing has to be learnt."""

from collections.abc import Mapping
from statistics import quantiles

from larkhoist.fleet.speeds import WorkerSpeeds

__all__ = ["KnownSpeeds"]


class KnownSpeeds(WorkerSpeeds):
    """The drawn factor of each worker, known from the start and never changed."""

    def __init__(self, factors: Mapping[str, float], uneven_ratio: float):
        super().__init__()
        self._factors = dict(factors)
        fifths = quantiles(self._factors.values(), n=5, method="inclusive")
        self._uneven = fifths[-1] >= uneven_ratio * fifths[0]

    @property
    def is_uneven(self) -> bool:
        """Tell whether the drawn factors differ as much as the policy requires."""
        return self._uneven

    def get_factor(self, worker: str) -> float:
        """Return the drawn factor; a restarted worker keeps it."""
        return self._factors[worker.partition(".")[0]]
