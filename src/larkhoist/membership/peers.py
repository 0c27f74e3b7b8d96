"""Define the messages between instances and track the peers' latest gossip."""

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
    """The state of the sending instance; a peer replies with its own.

    ``address`` is where the sender's peer link listens, for a receiver that has
    no instance list yet. ``next_offset`` is the first offset that the sender has not
    folded, ``in_flight`` its requests by upstream, ``ceilings`` the slots by upstream
    that the hall's owner leaves to requests.
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
    """A request for the log entries from an offset on."""

    from_offset: int


class TailReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Log entries, or the encoded state if the peer no longer has the first ones."""

    entries: tuple[LogEntry, ...]
    state: bytes = b""


class ListRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A request for the peer's copy of the platform's instance list."""


class ListReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The platform's instance list."""

    listed: InstanceList


class ExplainRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A request to a hall's owner to explain why a job waits or where it runs."""

    job_id: str


class ExplainReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The explanation; empty if the replying instance does not own the hall."""

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

    Raises ``msgspec.DecodeError`` if the bytes are not a message.
    """
    return _decoder.decode(data)


class PeerTable:
    """The latest gossip of each peer, which counts as live for ``live_s`` seconds."""

    def __init__(self, live_s: float):
        self._live_s = live_s
        self._latest: dict[str, tuple[Gossip, float]] = {}

    def note(self, gossip: Gossip, now_s: float) -> None:
        """Store a peer's gossip, received at ``now_s``."""
        self._latest[gossip.instance] = (gossip, now_s)

    def get_live(self, now_s: float) -> list[Gossip]:
        """Return the gossip of every live peer."""
        return [g for g, at_s in self._latest.values() if now_s - at_s < self._live_s]

    def get_all(self) -> list[tuple[Gossip, float]]:
        """Return the latest gossip of every peer with the time of its receipt."""
        return list(self._latest.values())

    def find_owner(self, hall: str, now_s: float) -> Gossip | None:
        """Return the gossip of the hall's live owner of highest epoch, or None."""
        owners = [g for g in self.get_live(now_s) if g.hall == hall and g.owner_epoch]
        return max(owners, key=lambda gossip: gossip.owner_epoch, default=None)

    def count_in_flight(self, hall: str, now_s: float) -> dict[str, int]:
        """Return the requests in flight of a hall's live peers, by upstream."""
        counts: dict[str, int] = {}
        for gossip in self.get_live(now_s):
            if gossip.hall == hall:
                for name, count in gossip.in_flight.items():
                    counts[name] = counts.get(name, 0) + count
        return counts
