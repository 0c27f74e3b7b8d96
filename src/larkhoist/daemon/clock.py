"""Read the steady clock."""

import time

__all__ = ["read_steady_s"]


def read_steady_s() -> float:
    """Return the steady time in seconds, on the clock that event loops count by."""
    return time.monotonic()
