"""Delay the retries of a failing call."""

import asyncio

__all__ = ["Backoff"]


class Backoff:
    """The interval between the calls of a retried operation; doubles with each wait.

    Times are in seconds.
    """

    def __init__(self, first_s: float, longest_s: float):
        self._first_s = first_s
        self._longest_s = longest_s
        self._pause_s = first_s

    def reset(self) -> None:
        """Reset the interval after a successful call."""
        self._pause_s = self._first_s

    async def wait(self, called_s: float) -> None:
        """Wait until the next call is due, after a failed one made at ``called_s``.

        The interval is counted from the start of the failed call, so that one that
        took longer than the interval is retried at once.
        """
        took_s = asyncio.get_running_loop().time() - called_s
        await asyncio.sleep(max(0.0, self._pause_s - took_s))
        self._pause_s = min(self._pause_s * 2, self._longest_s)
