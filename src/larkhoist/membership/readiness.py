"""Decide whether an instance may serve and whether it should try to own its hall."""

from collections.abc import Iterable

from larkhoist.membership.peers import Gossip
from larkhoist.ownership.order import order_instances

__all__ = ["decide_candidacy", "decide_ready"]


def decide_ready(
    reached_end: bool, next_offset: int, hall: str, peers: Iterable[Gossip]
) -> bool:
    """Tell whether the state of a starting instance is recent enough to serve.

    ``reached_end`` tells whether it has read the platform's log to its end. While the
    platform is unreachable, a state as recent as that of every ready peer in the hall
    is enough; if the hall has no ready peer, as that of every ready peer.
    """
    if reached_end:
        return True
    ready = [gossip for gossip in peers if gossip.ready]
    hall_peers = [gossip for gossip in ready if gossip.hall == hall] or ready
    return bool(hall_peers) and next_offset >= max(
        gossip.next_offset for gossip in hall_peers
    )


def decide_candidacy(
    instance: str, hall: str, ready: bool, draining: bool, peers: Iterable[Gossip]
) -> bool:
    """Tell whether this instance should try to own its data hall.

    It should if no live peer owns the hall and it comes first among the candidates
    in the order of ``order_instances``. Two instances that see different peers may
    both try; the workers' leases let at most one succeed.
    """
    if not ready or draining:
        return False
    hall_peers = [gossip for gossip in peers if gossip.hall == hall]
    if any(gossip.owner_epoch for gossip in hall_peers):
        return False
    candidates = [g.instance for g in hall_peers if g.ready and not g.draining]
    return order_instances(hall, [*candidates, instance])[0] == instance
