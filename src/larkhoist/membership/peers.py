"""Hold the messages between instances and what is known of peers."""

import msgspec

from larkhoist.ports.platform import InstanceList, LogEntry

__all__ = [
    "ExplainReply",
    "ExplainRequest",
    "Gossip",
    "ListReply",
    "ListRequest",
    "PeerMessage",
    "PeerTable",
    "TailReply",
    "TailRequest",
    "decode_message",
    "encode_message",
]


class Gossip(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Tell a peer what an instance knows; the answer is the peer's own.

    ``address`` is where the sender's peer link listens, for a receiver that has
    no list yet. ``next_offset`` is the state of the fold, ``in_flight`` counts
    requests by upstream, ``ceilings`` are the slots that the hall's owner leaves
    to requests.
    """

    instance: str
    hall: str
    address: str
    next_offset: int
    revision: int
    ready: bool
    draining: bool
    owner_epoch: int
    in_flight: dict[str, int]
    ceilings: dict[str, int]
    list_version: int


class TailRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ask a peer for log entries from an offset on."""

    from_offset: int


class TailReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Hold log entries, or the whole state where the peer lacks the first ones."""

    entries: tuple[LogEntry, ...]
    state: bytes = b""


class ListRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ask a peer for the platform's list as it knows it."""


class ListReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Hold the platform's list."""

    listed: InstanceList


class ExplainRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ask a hall's owner why a job waits or where it runs."""

    job_id: str


class ExplainReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Hold the explanation, empty where the receiver does not own the hall."""

    text: str


PeerMessage = (
    Gossip
    | TailRequest
    | TailReply
    | ListRequest
    | ListReply
    | ExplainRequest
    | ExplainReply
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Return the message in ``data``.

    Raises ``msgspec.DecodeError`` where the bytes are not a message.
    """
    return _decoder.decode(data)


class PeerTable:
    """Hold the newest gossip of each peer; ``live_s`` is how long it counts."""

    def __init__(self, live_s: float):
        self._live_s = live_s
        self._heard: dict[str, tuple[Gossip, float]] = {}

    def note(self, gossip: Gossip, now_s: float) -> None:
        """Take a peer's gossip."""
        self._heard[gossip.instance] = (gossip, now_s)

    def get_live(self, now_s: float) -> list[Gossip]:
        """Return the gossip of every peer heard of lately."""
        return [g for g, at_s in self._heard.values() if now_s - at_s < self._live_s]

    def get_all(self) -> list[tuple[Gossip, float]]:
        """Return every gossip with the time at which it came."""
        return list(self._heard.values())

    def find_owner(self, hall: str, now_s: float) -> Gossip | None:
        """Return the newest gossip of a hall's owner, or None where none is live."""
        owners = [g for g in self.get_live(now_s) if g.hall == hall and g.owner_epoch]
        return max(owners, key=lambda gossip: gossip.owner_epoch, default=None)

    def count_in_flight(self, hall: str, now_s: float) -> dict[str, int]:
        """Return the peers' requests in flight by upstream of one hall."""
        counts: dict[str, int] = {}
        for gossip in self.get_live(now_s):
            if gossip.hall == hall:
                for name, count in gossip.in_flight.items():
                    counts[name] = counts.get(name, 0) + count
        return counts
