"""Rate how well the capacity of an instance suits the work of an owner."""

from dataclasses import dataclass

__all__ = [
    "FULL_BANDWIDTH_MBPS",
    "FULL_CORES",
    "InstanceCapacity",
    "get_strength",
]

FULL_CORES = 1.0
"""An owner of 176 workers needs a whole core in bursts."""
FULL_BANDWIDTH_MBPS = 50.0
"""An owner of 176 workers sends 5 to 10 Mbit/s, which must not fill more than a fifth
of its link: calls to workers and renewals of the tenure wait behind it."""


@dataclass(frozen=True, slots=True)
class InstanceCapacity:
    """The CPU cores and the link bandwidth of an instance; 0 means unknown."""

    cores: float
    bandwidth_mbps: float


def get_strength(capacity: InstanceCapacity) -> float | None:
    """Return the suitability as owner, in (0, 1], or ``None`` if it is unknown."""
    if capacity.cores <= 0 or capacity.bandwidth_mbps <= 0:
        return None
    return min(
        1.0,
        capacity.cores / FULL_CORES,
        capacity.bandwidth_mbps / FULL_BANDWIDTH_MBPS,
    )
