"""Estimate how long to wait for an answer before a call is repeated.

The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed mean plus a
multiple of its deviation, doubled for each call without an answer until one answers.
"""

import asyncio

from returns.result import Result, Success

from larkhoist.ports.keyed_log import Guard, KeyedLogPort, KeyedRecord
from larkhoist.problem import Problem

__all__ = ["AnswerTimes", "append_in_time", "create_answer_times"]

MIN_TIMEOUT_S = 0.3
"""Longer than the answer of a slow log takes (0.25 s), so that few calls are repeated
before the estimate has adapted."""
MAX_TIMEOUT_S = 1.2
"""Covers a queueing delay of 1 s at a partition of the log."""
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
"""The three values are from RFC 6298."""
MIN_BYTES_PER_S = 250_000
"""2 Mbit/s, the slowest supported link; the time-out of an append grows with its
size."""


class AnswerTimes:
    """The estimate for calls of one kind; all times are in seconds."""

    def __init__(self):
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._lost_calls = 0

    def note_answer(self, took_s: float) -> None:
        """Record how long an answered call took."""
        self._lost_calls = 0
        if self._mean_s is None:
            self._mean_s, self._deviation_s = took_s, took_s / 2
            return
        error_s = took_s - self._mean_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * error_s

    def note_loss(self) -> None:
        """Record a call that got no answer in time."""
        self._lost_calls += 1

    def get_timeout_s(self) -> float:
        """Return how long to wait for the next answer."""
        timeout_s = MIN_TIMEOUT_S
        if self._mean_s is not None:
            timeout_s = max(timeout_s, self._mean_s + DEVIATIONS * self._deviation_s)
        return min(MAX_TIMEOUT_S, timeout_s * 2**self._lost_calls)


def create_answer_times() -> AnswerTimes:
    """Return an estimate without any recorded calls."""
    return AnswerTimes()


async def append_in_time(
    log: KeyedLogPort,
    stream: str,
    records: tuple[KeyedRecord, ...],
    guard: Guard,
    times: AnswerTimes,
) -> Result[int, Problem]:
    """Append records with the time-out that ``times`` estimates."""
    loop = asyncio.get_running_loop()
    size = sum(len(record.key) + len(record.value) for record in records)
    asked_s = loop.time()
    timeout_s = times.get_timeout_s() + size / MIN_BYTES_PER_S
    result = await log.append(stream, records, guard, timeout_s)
    took_s = loop.time() - asked_s
    match result:
        case Success(_):
            times.note_answer(took_s)
        case _ if took_s >= timeout_s:
            times.note_loss()
    return result
