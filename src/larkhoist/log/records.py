"""Define the records of the platform's log.

A record is a request for a change; the fold decides what it changes. Each append
writes one batch of records.
"""

import msgspec

from larkhoist.log.objects import CustomerSpec, JobSpec, ServiceSpec

__all__ = [
    "Batch",
    "Change",
    "ClaimMade",
    "ClaimReleased",
    "CustomerPut",
    "CustomerRemoved",
    "JobCancelled",
    "JobClaimed",
    "JobFinished",
    "JobPlaced",
    "JobPut",
    "JobRequeued",
    "PlanConfirmed",
    "PlanProposed",
    "Record",
    "ServicePut",
    "ServiceRemoved",
    "decode_batch",
    "encode_batch",
]


class CustomerPut(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Create or replace a customer."""

    spec: CustomerSpec


class CustomerRemoved(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Remove a customer."""

    name: str


class ServicePut(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Create or replace a service."""

    spec: ServiceSpec


class ServiceRemoved(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Remove a service."""

    name: str


class JobPut(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Submit a job; a second one with the same id changes nothing."""

    spec: JobSpec


Change = CustomerPut | CustomerRemoved | ServicePut | ServiceRemoved | JobPut


class PlanProposed(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Store an operator's plan until it is confirmed."""

    plan_id: str
    base_revision: int
    author: str
    changes: tuple[Change, ...]


class PlanConfirmed(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ask for a plan to take effect."""

    plan_id: str
    author: str


class ClaimMade(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Claim the right to send a request that is not repeatable, once."""

    service: str
    key: str
    claim_id: str
    instance: str
    digest: int


class ClaimReleased(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Release a claim whose holder has not sent the request and never will."""

    service: str
    key: str
    claim_id: str


class JobCancelled(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ask for a job to end."""

    job_id: str


class JobClaimed(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Claim a pending job for one data hall; the first claim wins."""

    job_id: str
    hall: str


class JobPlaced(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Record that every member of an attempt was started."""

    job_id: str
    hall: str
    attempt: int
    workers: tuple[str, ...]


class JobRequeued(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Record that all members of an attempt have ended and that the job waits again.

    ``lost_early`` tells whether the attempt lost a member together with its worker
    soon after its start; None if it lost none, or if that is unknown.
    """

    job_id: str
    hall: str
    attempt: int
    code: int
    lost_early: bool | None = None


class JobFinished(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Record the final result of a job."""

    job_id: str
    hall: str
    attempt: int
    code: int


Record = (
    PlanProposed
    | PlanConfirmed
    | ClaimMade
    | ClaimReleased
    | JobPut
    | JobCancelled
    | JobClaimed
    | JobPlaced
    | JobRequeued
    | JobFinished
)


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The records of one append.

    ``writer`` names one incarnation of an instance and ``sequence`` numbers its
    batches, so that a batch appended twice is folded once. ``at_ms`` is the
    writer's clock in milliseconds since the Unix epoch.
    """

    writer: str
    sequence: int
    at_ms: int
    records: tuple[Record, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Return the bytes of ``batch`` for one append."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> Batch:
    """Return the batch in ``data``.

    Raises ``msgspec.DecodeError`` if the bytes are not a batch.
    """
    return _decoder.decode(data)
