"""Hold the records that keep staged jobs on the platform's log.

Each aspect of a job has a key of its own, and each key one kind of writer:
acceptance and cancellation come from any instance, the others from the owner
alone. The newest record of a key is the whole truth about it.

Every instance follows the stream of jobs. Progress has a stream of its own, which
only a new owner reads. Once a job has ended and none of its tasks may run, its
outcome is all that is kept, until nobody may ask for it any more.
"""

from collections.abc import Mapping
from math import ceil

import msgspec

from larkhoist.jobs.spec import StagedJob
from larkhoist.ports.keyed_log import KeyedRecord

__all__ = [
    "JOB_STREAM",
    "PROGRESS_STREAM",
    "JobAccepted",
    "JobBegun",
    "JobCancelRequested",
    "JobOutcome",
    "JobRecord",
    "LostWorkers",
    "PhaseId",
    "PhaseProgress",
    "RemainingLeases",
    "TaskProgress",
    "decode_job_record",
    "encode_job_record",
    "make_closing_records",
    "make_expiry_records",
    "make_leases_record",
    "make_phase_drop",
]

JOB_STREAM = "jobs"
PROGRESS_STREAM = "progress"


class PhaseId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Name one step of one run of a job."""

    job_id: str
    run: int
    step: int


class JobAccepted(msgspec.Struct, frozen=True, tag="a"):
    """Keep a job; a second record of the same job changes nothing."""

    job: StagedJob


class JobCancelRequested(msgspec.Struct, frozen=True, tag="c"):
    """Ask for a job to end."""

    job_id: str


class JobBegun(msgspec.Struct, frozen=True, tag="b"):
    """Tell that a task of the job was ordered to start."""

    job_id: str


class LostWorkers(msgspec.Struct, frozen=True, array_like=True):
    """Count the workers that were lost under a task, and its starts since.

    ``crashes`` counts those that crashed while it ran, ``blamed`` those of them whose
    crash it most likely caused, ``unsure`` those that may have been cut off, or on
    which it may not have run. ``late_starts`` counts its starts after the third of all.
    ``unseen`` counts those of ``unsure`` on which it was never seen to run while others
    had just been started there as well.
    """

    crashes: int = 0
    blamed: int = 0
    unsure: int = 0
    late_starts: int = 0
    unseen: int = 0

    @property
    def count(self) -> int:
        """Return how many workers were lost."""
        return self.crashes + self.unsure


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """Hold what must outlive the owner of one task.

    ``worker`` is where the attempt may run, empty where none may; ``failures``
    counts attempts that ended as failed; ``checkpoint`` is where the next attempt
    goes on. ``address`` reaches the worker when it is off the platform's list: without
    it a successor could neither stop a task there nor keep up its lease. ``lost``
    counts the workers that were lost under it. ``worker_started_ms`` is the start time
    of the worker incarnation that the attempt was assigned to, 0 if unknown. ``seen``
    tells that the worker has said that the attempt runs.
    """

    attempt: int = 0
    worker: str = ""
    done: bool = False
    failures: int = 0
    checkpoint: str = ""
    address: str = ""
    lost: LostWorkers = LostWorkers()
    worker_started_ms: int = 0
    seen: bool = False


class PhaseProgress(msgspec.Struct, frozen=True, tag="p"):
    """Hold the progress of all tasks of one step of one run.

    ``failed_attempt`` is the last attempt of a gang whose failure was counted, so
    that a second member's end doesn't count it again under another owner.
    ``since_ms`` is since when (Unix milliseconds) no task has started while some
    wait, or since when all are done; 0 where that is not known.
    """

    phase: PhaseId
    tasks: tuple[TaskProgress, ...]
    failed_attempt: int = 0
    since_ms: int = 0


class RemainingLeases(msgspec.Struct, frozen=True, tag="l"):
    """Hold how long leases of silent workers may last, in milliseconds by worker.

    The time counts from when the record is written at the latest. Its owner grants
    these workers no lease until a newer record lacks them.
    """

    remaining_ms: dict[str, int]


class JobOutcome(msgspec.Struct, frozen=True, tag="o"):
    """Hold how a job ended, as a result code, and when (Unix milliseconds).

    ``customer`` is who may ask, since nothing else is kept of an ended job.
    """

    job_id: str
    code: int
    at_ms: int
    customer: str = ""


JobRecord = (
    JobAccepted
    | JobCancelRequested
    | JobBegun
    | PhaseProgress
    | RemainingLeases
    | JobOutcome
)
LEASES_KEY = "l"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(JobRecord)


def encode_job_record(record: JobRecord) -> KeyedRecord:
    """Return the record with its key."""
    match record:
        case JobAccepted(job):
            key = f"a{job.job_id}"
        case JobCancelRequested(job_id):
            key = f"c{job_id}"
        case JobBegun(job_id):
            key = f"b{job_id}"
        case PhaseProgress(phase):
            key = _make_phase_key(phase)
        case RemainingLeases():
            key = LEASES_KEY
        case JobOutcome(job_id):
            key = f"o{job_id}"
    return KeyedRecord(key, _encoder.encode(record))


def make_closing_records(job_id: str) -> tuple[KeyedRecord, ...]:
    """Return what leaves only the outcome of an ended job on the stream of jobs."""
    return tuple(KeyedRecord(f"{kind}{job_id}", b"") for kind in "abc")


def make_expiry_records(job_id: str) -> tuple[KeyedRecord, ...]:
    """Return what leaves nothing of an ended job on the stream of jobs.

    A caller's late repeat may have brought the acceptance back.
    """
    return (*make_closing_records(job_id), KeyedRecord(f"o{job_id}", b""))


def make_leases_record(remaining_s: Mapping[str, float]) -> KeyedRecord:
    """Return what keeps the remaining time of leases (seconds), if there are any."""
    if not remaining_s:
        return KeyedRecord(LEASES_KEY, b"")
    remaining_ms = {name: ceil(1000 * left_s) for name, left_s in remaining_s.items()}
    return encode_job_record(RemainingLeases(remaining_ms))


def make_phase_drop(phase: PhaseId) -> KeyedRecord:
    """Return what drops a phase from the stream of progress."""
    return KeyedRecord(_make_phase_key(phase), b"")


def decode_job_record(value: bytes) -> JobRecord:
    """Return the record in ``value``; raises ``msgspec.DecodeError``."""
    return _decoder.decode(value)


def _make_phase_key(phase: PhaseId) -> str:
    return f"p{phase.job_id}.{phase.run}.{phase.step}"
