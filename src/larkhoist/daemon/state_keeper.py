"""Own the folded state of one instance and the newest entries behind it."""

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
    """Fold entries in their order and wake those who wait for an offset."""

    def __init__(self, max_tail: int):
        self.state = ClusterState()
        self._tail: deque[LogEntry] = deque(maxlen=max_tail)
        self._waiters: list[tuple[int, asyncio.Future]] = []

    def fold(self, entries: tuple[LogEntry, ...]) -> None:
        """Fold entries; those folded before are passed over."""
        for entry in entries:
            if entry.offset < self.state.next_offset:
                continue
            self._fold_entry(entry)
            self._tail.append(entry)
        self._wake()

    def adopt(self, state: ClusterState) -> bool:
        """Take over a whole state where it is newer; an older one is refused."""
        if state.next_offset <= self.state.next_offset:
            return False
        self.state = state
        self._tail.clear()
        self._wake()
        return True

    def get_tail(self, from_offset: int, limit: int) -> tuple[LogEntry, ...] | None:
        """Return entries from an offset on, or None where they are not kept."""
        if not self._tail or self._tail[0].offset > from_offset:
            return None
        first = from_offset - self._tail[0].offset
        end = min(len(self._tail), first + limit)
        return tuple(self._tail[index] for index in range(first, end))

    def encode_state(self) -> bytes:
        """Return the whole state as bytes."""
        return _state_encoder.encode(self.state)

    def adopt_bytes(self, data: bytes) -> bool:
        """Take over a whole state from its bytes where it is newer."""
        return self.adopt(_state_decoder.decode(data))

    async def wait_folded(self, offset: int, timeout_s: float) -> bool:
        """Wait until ``offset`` is folded; return False at the time-out."""
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
            # What cannot be read changes nothing, on every instance alike.
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
