"""Define the parameters of the request policy."""

from dataclasses import dataclass

__all__ = ["RequestPolicy"]


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """The request policy of one instance; times are in seconds.

    ``pack_share`` is the share of an upstream's slots up to which requests are
    packed onto the fullest upstream; 0 spreads them. ``overcommit`` is the
    number of requests beyond its slots that may wait at an upstream, so that a freed
    slot is reused before this instance learns of it.
    """

    pack_share: float = 0.75
    overcommit: int = 2
    max_queue: int = 1000
    max_customer_queue: int = 500
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    eject_after: int = 5
    eject_s: float = 5.0
    longest_eject_s: float = 60.0
    max_ejected_share: float = 0.34
    slow_start_s: float = 10.0
