"""Read the steady clock."""

import time

__all__ = ["read_steady_s"]


def read_steady_s() -> float:
    """Return the steady time in seconds, on the clock that the event loop counts by.

    The loop's own time is that of its present turn: after a pause of the process it
    lies as far back as the pause was long, and what was read since seems older.
    """
    return time.monotonic()
