"""Order the instances of a data hall by rendezvous hashing.

Every instance computes the same order from the same names; the first live one is
preferred as owner. The order only decides which instance tries first. That there is
only one owner is ensured by the leases at the workers.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["order_instances"]


def order_instances(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in order of preference for ``key``, the best first."""
    return sorted(names, key=lambda name: _get_score(key, name), reverse=True)


def _get_score(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode()), name
