"""Hold the objects that operators configure, as data classes.

They are frozen and go onto the platform's log as they are.
"""

import msgspec

__all__ = ["Adjacency", "Cell", "CustomerSpec", "Guarantee", "JobSpec", "ServiceSpec"]

Adjacency = str
"""How near the members of a gang must be: ``worker``, ``rack`` or ``hall``."""


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """Hold ``count`` blocks of ``accelerators`` adjacent accelerators each."""

    accelerators: int
    count: int


class Guarantee(msgspec.Struct, frozen=True, array_like=True):
    """Hold the cells that one customer may claim in one data hall."""

    hall: str
    cells: tuple[Cell, ...]


class CustomerSpec(msgspec.Struct, frozen=True, array_like=True):
    """Describe one customer; ``share`` weighs it against the others."""

    name: str
    share: int = 1
    guarantees: tuple[Guarantee, ...] = ()


class ServiceSpec(msgspec.Struct, frozen=True, array_like=True):
    """Describe one service of small requests.

    ``echoes_request_id`` states that its upstreams return the header
    ``Larkhoist-Request-Id``, with refusals too; only then are connections used again.
    """

    name: str
    timeout_ms: int = 10_000
    max_attempts: int = 3
    echoes_request_id: bool = False


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """Describe one gang job of ``members`` tasks of equal shape.

    ``accelerators`` counts per member, ``declared_s`` is the run time in seconds
    that the customer expects, ``hall`` is empty where any will do.
    """

    job_id: str
    customer: str
    members: int
    accelerators: int
    adjacency: Adjacency = "rack"
    kind: str = "batch"
    declared_s: float = 60.0
    guaranteed: bool = False
    urgent: bool = False
    repeatable: bool = True
    payload: str = ""
    hall: str = ""

    @property
    def total(self) -> int:
        """Return the number of accelerators over all members."""
        return self.members * self.accelerators
