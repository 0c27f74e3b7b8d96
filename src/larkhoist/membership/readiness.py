"""Decide whether an instance may serve and whether it should try to own its hall."""

from collections.abc import Iterable

from larkhoist.membership.peers import Gossip
from larkhoist.ownership.order import order_instances

__all__ = ["decide_candidacy", "decide_ready"]


def decide_ready(
    reached_end: bool, next_offset: int, hall: str, peers: Iterable[Gossip]
) -> bool:
    """Tell whether a fresh instance holds a state it may serve from.

    ``reached_end`` tells whether it has read the platform's log to its end. With
    the platform out of reach, a state as new as that of every ready peer of the
    hall is enough; with no such peer, of every ready peer.
    """
    if reached_end:
        return True
    ready = [gossip for gossip in peers if gossip.ready]
    near = [gossip for gossip in ready if gossip.hall == hall] or ready
    return bool(near) and next_offset >= max(gossip.next_offset for gossip in near)


def decide_candidacy(
    instance: str, hall: str, ready: bool, draining: bool, peers: Iterable[Gossip]
) -> bool:
    """Tell whether this instance should try to own its data hall.

    It should where no live peer owns the hall and it comes first among those that
    could. Two instances that see different peers may both try; the workers'
    leases let at most one through.
    """
    if not ready or draining:
        return False
    near = [gossip for gossip in peers if gossip.hall == hall]
    if any(gossip.owner_epoch for gossip in near):
        return False
    able = [g.instance for g in near if g.ready and not g.draining]
    return order_instances(hall, [*able, instance])[0] == instance
