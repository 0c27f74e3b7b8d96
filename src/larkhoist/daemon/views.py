"""Define the structs that the operator API returns as JSON."""

import msgspec

from larkhoist.log.plan import PlanLine

__all__ = [
    "ConfirmView",
    "CustomerView",
    "HallView",
    "InstanceView",
    "JobView",
    "PlanView",
    "ServiceView",
    "StatusView",
]


class PlanView(msgspec.Struct, frozen=True):
    """A plan that waits to be confirmed."""

    plan_id: str
    base_revision: int
    lines: list[PlanLine]


class ConfirmView(msgspec.Struct, frozen=True):
    """The result of confirming a plan."""

    plan_id: str
    code: int
    name: str
    revision: int
    winner: str = ""


class HallView(msgspec.Struct, frozen=True):
    """A data hall; ``revision`` is the lowest among its instances.

    ``silent_s`` is the time since the last gossip from the hall, in seconds.
    """

    hall: str
    owner: str
    owner_epoch: int
    instances: int
    revision: int
    next_offset: int
    in_force: bool
    silent_s: float


class StatusView(msgspec.Struct, frozen=True):
    """The whole system as seen by one instance."""

    instance: str
    hall: str
    ready: bool
    platform_up: bool
    revision: int
    next_offset: int
    halls: list[HallView]


class JobView(msgspec.Struct, frozen=True):
    """A job."""

    job_id: str
    customer: str
    state: str
    hall: str
    attempt: int
    code: int
    shape: str
    workers: tuple[str, ...]
    cancelled: bool
    explanation: str = ""


class CustomerView(msgspec.Struct, frozen=True):
    """A customer."""

    name: str
    share: int
    guarantees: list[str]


class InstanceView(msgspec.Struct, frozen=True):
    """A worker or upstream of the platform's list."""

    name: str
    hall: str
    rack: str
    address: str
    size: int
    leaving: bool


class ServiceView(msgspec.Struct, frozen=True):
    """A service."""

    name: str
    timeout_ms: int
    max_attempts: int
    echoes_request_id: bool
