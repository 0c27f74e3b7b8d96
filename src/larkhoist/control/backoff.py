"""Spread out the repeats of a call that fails."""

import asyncio

__all__ = ["Backoff"]


class Backoff:
    """Hold how long after a call the next one is made; twice as long each time.

    Times are seconds.
    """

    def __init__(self, first_s: float, longest_s: float):
        self._first_s = first_s
        self._longest_s = longest_s
        self._pause_s = first_s

    def reset(self) -> None:
        """Begin anew, since a call has succeeded."""
        self._pause_s = self._first_s

    async def wait(self, called_s: float) -> None:
        """Wait until the time for a call after one of ``called_s`` that failed.

        A call that waited in vain for as long has spread out the calls already.
        """
        took_s = asyncio.get_running_loop().time() - called_s
        await asyncio.sleep(max(0.0, self._pause_s - took_s))
        self._pause_s = min(self._pause_s * 2, self._longest_s)
