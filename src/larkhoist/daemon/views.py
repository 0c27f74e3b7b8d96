"""Hold what the operators' interface returns, as data classes."""

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
    """Show a plan that waits to be confirmed."""

    plan_id: str
    base_revision: int
    lines: list[PlanLine]


class ConfirmView(msgspec.Struct, frozen=True):
    """Show what a confirm came to."""

    plan_id: str
    code: int
    name: str
    revision: int
    winner: str = ""


class HallView(msgspec.Struct, frozen=True):
    """Show one data hall; ``revision`` is the lowest among its instances.

    ``silent_s`` is how long ago the hall was last heard of, in seconds.
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
    """Show the whole system as one instance sees it."""

    instance: str
    hall: str
    ready: bool
    platform_up: bool
    revision: int
    next_offset: int
    halls: list[HallView]


class JobView(msgspec.Struct, frozen=True):
    """Show one job."""

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
    """Show one customer."""

    name: str
    share: int
    guarantees: list[str]


class InstanceView(msgspec.Struct, frozen=True):
    """Show one worker or upstream of the platform's list."""

    name: str
    hall: str
    rack: str
    address: str
    size: int
    leaving: bool


class ServiceView(msgspec.Struct, frozen=True):
    """Show one service."""

    name: str
    timeout_ms: int
    max_attempts: int
    echoes_request_id: bool
