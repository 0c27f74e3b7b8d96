"""Limit the bytes of start orders in flight, so that other calls are sent in time."""

import asyncio
import heapq
from dataclasses import dataclass, field

from larkhoist.fleet.effects import StartTask

__all__ = ["StartLimit", "StartTurn", "create_start_limit", "get_size"]

SEND_TIME_S = 0.1
"""How long the link may take to send the orders in flight. A call behind them is then
answered well within its time-out of 0.7 s."""
MIN_ORDERS = 8
"""Orders that may be in flight on any link."""
MAX_HOLD_S = 0.2
"""How long an order without an answer counts as in flight. Orders to workers that do
not answer would otherwise block all others; at twice ``SEND_TIME_S``, they take at most
half of the link."""
OVERHEAD_BYTES = 400
"""Size of an order's headers and of its fields other than payload and checkpoint."""


@dataclass(eq=False, slots=True)
class StartTurn:
    """The place of one order among those that wait and those in flight.

    ``number`` increases with each order and stays the same for its retries.
    """

    number: int
    size: int
    waits: bool = False
    granted: asyncio.Event = field(default_factory=asyncio.Event)
    hold: asyncio.TimerHandle | None = None


class StartLimit:
    """The limit shared by all sessions; orders wait in the sequence of their numbers.

    At least ``MIN_ORDERS`` orders may be in flight, and more while they have at most
    ``max_bytes`` in total.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._last_number = 0
        self._waiting: list[tuple[int, StartTurn]] = []
        self._in_flight: set[StartTurn] = set()
        self._bytes_in_flight = 0

    def enqueue(self, size: int) -> StartTurn:
        """Return a turn behind all earlier ones, granted at once if there is room."""
        self._last_number += 1
        turn = StartTurn(self._last_number, size)
        self._add(turn)
        return turn

    def enqueue_again(self, turn: StartTurn) -> None:
        """Let a turn that has ended wait again, ahead of all later ones.

        A retry behind later orders would start long after the rest of its gang.
        """
        self.end(turn)
        turn.granted.clear()
        self._add(turn)

    def end(self, turn: StartTurn) -> None:
        """End a turn that waits or is in flight; does nothing if it has ended."""
        if turn in self._in_flight:
            self._in_flight.remove(turn)
            self._bytes_in_flight -= turn.size
            turn.hold.cancel()
        # Stays in the heap until it is the first, since removal takes linear time.
        turn.waits = False
        self._grant_turns()

    def _add(self, turn: StartTurn) -> None:
        turn.waits = True
        heapq.heappush(self._waiting, (turn.number, turn))
        self._grant_turns()

    def _grant_turns(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting:
            turn = self._waiting[0][1]
            if turn.waits and not self._has_room(turn.size):
                return
            heapq.heappop(self._waiting)
            if not turn.waits:
                continue
            turn.waits = False
            self._in_flight.add(turn)
            self._bytes_in_flight += turn.size
            turn.hold = loop.call_later(MAX_HOLD_S, self.end, turn)
            turn.granted.set()

    def _has_room(self, size: int) -> bool:
        is_few = len(self._in_flight) < MIN_ORDERS
        return is_few or self._bytes_in_flight + size <= self._max_bytes


def create_start_limit(bandwidth_mbps: float) -> StartLimit:
    """Return the limit for an instance whose link has this bandwidth."""
    return StartLimit(int(bandwidth_mbps * 1e6 / 8 * SEND_TIME_S))


def get_size(order: StartTask) -> int:
    """Return roughly how many bytes an order takes on the link."""
    return OVERHEAD_BYTES + len(order.payload.encode()) + len(order.checkpoint)
