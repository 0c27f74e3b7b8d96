"""Encode the replicated state as a snapshot and decode it.

A snapshot is split into parts that each fit into one append. Each part carries the
digest of the whole state, so that an incomplete or mixed set of parts is rejected.
"""

import msgspec
import xxhash

from larkhoist.log.state import ClusterState

__all__ = ["SnapshotAssembler", "SnapshotPart", "decode_part", "split_state"]


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a snapshot that covers the offsets before ``next_offset``."""

    next_offset: int
    digest: int
    index: int
    count: int
    data: bytes


_part_encoder = msgspec.msgpack.Encoder()
_part_decoder = msgspec.msgpack.Decoder(SnapshotPart)
_state_decoder = msgspec.msgpack.Decoder(ClusterState)


def split_state(state: ClusterState, part_bytes: int) -> list[bytes]:
    """Return the encoded parts of ``state``, each of about ``part_bytes``."""
    data = _part_encoder.encode(state)
    digest = xxhash.xxh3_64_intdigest(data)
    chunks = [data[i : i + part_bytes] for i in range(0, len(data), part_bytes)]
    parts = [
        SnapshotPart(state.next_offset, digest, index, len(chunks), chunk)
        for index, chunk in enumerate(chunks)
    ]
    return [_part_encoder.encode(part) for part in parts]


def decode_part(data: bytes) -> SnapshotPart:
    """Return the part in ``data``.

    Raises ``msgspec.DecodeError`` if the bytes are not a part.
    """
    return _part_decoder.decode(data)


class SnapshotAssembler:
    """The newest complete snapshot among the parts added so far."""

    def __init__(self):
        self._parts: dict[tuple[int, int], dict[int, bytes]] = {}
        self.newest: ClusterState | None = None

    def add(self, part: SnapshotPart) -> None:
        """Add one part; parts may come in any order and more than once."""
        if self.newest is not None and part.next_offset <= self.newest.next_offset:
            return
        parts = self._parts.setdefault((part.next_offset, part.digest), {})
        parts[part.index] = part.data
        if len(parts) < part.count:
            return
        data = b"".join(parts[index] for index in range(part.count))
        if xxhash.xxh3_64_intdigest(data) != part.digest:
            return
        self.newest = _state_decoder.decode(data)
        limit = self.newest.next_offset
        self._parts = {k: v for k, v in self._parts.items() if k[0] > limit}
