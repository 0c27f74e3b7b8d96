"""Define the state that results from folding the platform's log."""

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
    """The state of a job on the log."""

    PENDING = "pending"
    CLAIMED = "claimed"
    PLACED = "placed"
    ENDED = "ended"


class JobEntry(msgspec.Struct):
    """A job; ``attempt`` counts from 1, and reports of earlier attempts are ignored.

    ``failures`` is the number of failed attempts, ``early_losses`` the number of
    attempts in a row that lost a member with its worker soon after their start.
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
    """The claim on an idempotency key; its holder may send the request once."""

    claim_id: str
    instance: str
    digest: int
    at_ms: int


class ConfirmOutcome(msgspec.Struct):
    """The result of a confirmation; ``winner`` names the plan that it lost to."""

    code: int
    revision: int
    at_ms: int
    winner: str = ""


class ObjectVersion(msgspec.Struct):
    """The revision and the plan that last changed an object."""

    revision: int
    plan_id: str


class WriterEntry(msgspec.Struct):
    """The last batch that was folded from one writer."""

    sequence: int
    at_ms: int


class ClusterState(msgspec.Struct):
    """The whole replicated state, the same on every instance at the same offset.

    ``next_offset`` is the first offset not yet folded. ``log_ms`` is the largest
    ``Batch.at_ms`` folded so far; the fold uses no other clock.
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
