"""Define the objects that operators configure.

They are immutable and are written to the platform's log in this form.
"""

import msgspec

__all__ = ["Adjacency", "Cell", "CustomerSpec", "Guarantee", "JobSpec", "ServiceSpec"]

Adjacency = str
"""The unit that must hold all members of a gang: ``worker``, ``rack`` or ``hall``."""


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """``count`` blocks of ``accelerators`` adjacent accelerators each."""

    accelerators: int
    count: int


class Guarantee(msgspec.Struct, frozen=True, array_like=True):
    """The cells guaranteed to one customer in one data hall."""

    hall: str
    cells: tuple[Cell, ...]


class CustomerSpec(msgspec.Struct, frozen=True, array_like=True):
    """A customer; ``share`` is its weight relative to the others."""

    name: str
    share: int = 1
    guarantees: tuple[Guarantee, ...] = ()


class ServiceSpec(msgspec.Struct, frozen=True, array_like=True):
    """A service of small requests.

    ``echoes_request_id`` states that its upstreams return the header
    ``Larkhoist-Request-Id``, also on refusals; only then are connections reused.
    """

    name: str
    timeout_ms: int = 10_000
    max_attempts: int = 3
    echoes_request_id: bool = False


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A gang job of ``members`` tasks of equal shape.

    ``accelerators`` is the number per member, ``declared_s`` the run time in seconds
    that the customer expects. ``hall`` is empty if any data hall will do.
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
        """Return the number of accelerators of all members together."""
        return self.members * self.accelerators
