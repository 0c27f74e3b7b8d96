"""Track the recent peak demand of urgent jobs for accelerators.

Stopping borrowed work loses work and takes time that an urgent job of a few seconds
does not have. Other work therefore leaves free what urgent jobs may need in addition to
what they use now.
"""

import math

__all__ = ["UrgentDemand"]

DECAY_S = 15.0
"""Time constant of the peak's exponential decay; urgent bursts last 4 to 6 s."""


class UrgentDemand:
    """The decaying peak number of accelerators that urgent jobs used or waited for."""

    def __init__(self):
        self._peak = 0.0
        self._noted_s = 0.0

    def note(self, accelerators: int, now_s: float) -> None:
        """Record the present demand."""
        self._peak = max(float(accelerators), self.get_peak(now_s))
        self._noted_s = now_s

    def get_peak(self, now_s: float) -> float:
        """Return the peak, decayed to the present."""
        return self._peak * math.exp((self._noted_s - now_s) / DECAY_S)
