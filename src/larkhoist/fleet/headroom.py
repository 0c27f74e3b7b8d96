"""Remember how many accelerators urgent jobs needed at their peak of late.

Stopping borrowed work takes time that an urgent job of a few seconds does not
have, and throws work away. Other work therefore leaves free what urgent jobs may
need on top of what they use now.
"""

import math

__all__ = ["UrgentDemand"]

MEMORY_S = 15.0
"""In this time a past peak falls to a third; the users' bursts last 4 to 6 s."""


class UrgentDemand:
    """Hold the remembered peak of the accelerators that urgent jobs used."""

    def __init__(self):
        self._peak = 0.0
        self._noted_s = 0.0

    def note(self, accelerators: int, now_s: float) -> None:
        """Take the present demand."""
        self._peak = max(float(accelerators), self.get_peak(now_s))
        self._noted_s = now_s

    def get_peak(self, now_s: float) -> float:
        """Return the remembered peak."""
        return self._peak * math.exp((self._noted_s - now_s) / MEMORY_S)
