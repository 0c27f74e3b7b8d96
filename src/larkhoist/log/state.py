"""Hold what the fold of the platform's log has come to."""

from enum import StrEnum

import msgspec

from larkhoist.log.objects import CustomerSpec, JobSpec, ServiceSpec
from larkhoist.log.records import PlanProposed

__all__ = [
    "ClaimEntry",
    "ClusterState",
    "ConfirmOutcome",
    "JobEntry",
    "JobState",
    "ObjectVersion",
    "WriterEntry",
]


class JobState(StrEnum):
    """Name the states of a job as the log knows it."""

    PENDING = "pending"
    CLAIMED = "claimed"
    PLACED = "placed"
    ENDED = "ended"


class JobEntry(msgspec.Struct):
    """Hold one job; ``attempt`` counts from 1 and fences late reports.

    ``failures`` counts attempts that failed, ``early_losses`` those in a row that lost
    a member with its worker soon after their start.
    """

    spec: JobSpec
    submitted_ms: int
    state: JobState = JobState.PENDING
    hall: str = ""
    attempt: int = 1
    code: int = 0
    cancelled: bool = False
    ended_ms: int = 0
    workers: tuple[str, ...] = ()
    failures: int = 0
    early_losses: int = 0


class ClaimEntry(msgspec.Struct):
    """Hold the only send of one idempotency key."""

    claim_id: str
    instance: str
    digest: int
    at_ms: int


class ConfirmOutcome(msgspec.Struct):
    """Hold what a confirm came to; ``winner`` names the plan that came first."""

    code: int
    revision: int
    at_ms: int
    winner: str = ""


class ObjectVersion(msgspec.Struct):
    """Hold the revision and the plan that last changed an object."""

    revision: int
    plan_id: str


class WriterEntry(msgspec.Struct):
    """Hold the last batch that was folded from one writer."""

    sequence: int
    at_ms: int


class ClusterState(msgspec.Struct):
    """Hold the whole agreed state, equal on every instance at equal offsets.

    ``next_offset`` is the first offset not yet folded. ``log_ms`` is the
    largest writer's clock seen, and the only clock that the fold knows.
    """

    next_offset: int = 0
    log_ms: int = 0
    revision: int = 0
    revision_at_ms: int = 0
    writers: dict[str, WriterEntry] = {}
    customers: dict[str, CustomerSpec] = {}
    services: dict[str, ServiceSpec] = {}
    versions: dict[str, ObjectVersion] = {}
    customers_version: ObjectVersion | None = None
    plans: dict[str, PlanProposed] = {}
    plan_times: dict[str, int] = {}
    confirms: dict[str, ConfirmOutcome] = {}
    claims: dict[str, ClaimEntry] = {}
    jobs: dict[str, JobEntry] = {}
