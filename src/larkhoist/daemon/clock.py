"""Read the monotonic clock."""

import time

__all__ = ["read_monotonic_s"]


def read_monotonic_s() -> float:
    """Return the monotonic time in seconds, on the clock that event loops use."""
    return time.monotonic()
