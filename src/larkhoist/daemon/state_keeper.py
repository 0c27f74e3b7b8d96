"""Hold the folded state of one instance and its newest log entries."""

import asyncio
import logging
from collections import deque

import msgspec

from larkhoist.daemon.logs import log_event
from larkhoist.log.fold import LogGapError, fold_batch
from larkhoist.log.records import decode_batch
from larkhoist.log.state import ClusterState
from larkhoist.ports.platform import LogEntry

__all__ = ["StateKeeper"]

_logger = logging.getLogger(__name__)
_state_encoder = msgspec.msgpack.Encoder()
_state_decoder = msgspec.msgpack.Decoder(ClusterState)


class StateKeeper:
    """The folded state; wakes tasks that wait for an offset to be folded."""

    def __init__(self, max_tail: int):
        self.state = ClusterState()
        self._tail: deque[LogEntry] = deque(maxlen=max_tail)
        self._waiters: list[tuple[int, asyncio.Future]] = []

    def fold(self, entries: tuple[LogEntry, ...]) -> None:
        """Fold entries, skipping those that were folded before."""
        for entry in entries:
            if entry.offset < self.state.next_offset:
                continue
            self._fold_entry(entry)
            self._tail.append(entry)
        self._wake()

    def adopt(self, state: ClusterState) -> bool:
        """Replace the state if ``state`` is newer; return whether it was."""
        if state.next_offset <= self.state.next_offset:
            return False
        self.state = state
        self._tail.clear()
        self._wake()
        return True

    def get_tail(self, from_offset: int, limit: int) -> tuple[LogEntry, ...] | None:
        """Return up to ``limit`` entries from an offset on, None if not kept."""
        if not self._tail or self._tail[0].offset > from_offset:
            return None
        first = from_offset - self._tail[0].offset
        end = min(len(self._tail), first + limit)
        return tuple(self._tail[index] for index in range(first, end))

    def encode_state(self) -> bytes:
        """Return the state encoded as MessagePack."""
        return _state_encoder.encode(self.state)

    def adopt_bytes(self, data: bytes) -> bool:
        """Decode a state and replace the current one if it is newer."""
        return self.adopt(_state_decoder.decode(data))

    async def wait_folded(self, offset: int, timeout_s: float) -> bool:
        """Wait until ``offset`` is folded; return False on time-out."""
        if offset < self.state.next_offset:
            return True
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((offset, future))
        try:
            await asyncio.wait_for(future, timeout_s)
            return True
        except TimeoutError:
            return False
        finally:
            self._waiters = [w for w in self._waiters if w[1] is not future]

    def _fold_entry(self, entry: LogEntry) -> None:
        try:
            batch = decode_batch(entry.data)
        except msgspec.DecodeError:
            # Every instance skips an unreadable entry, so their states stay equal.
            log_event(_logger, "record-unreadable", logging.ERROR, offset=entry.offset)
            if entry.offset > self.state.next_offset:
                raise LogGapError(f"gap before offset {entry.offset}") from None
            self.state.next_offset = entry.offset + 1
            return
        fold_batch(self.state, entry.offset, batch)

    def _wake(self) -> None:
        for offset, future in self._waiters:
            if offset < self.state.next_offset and not future.done():
                future.set_result(None)
