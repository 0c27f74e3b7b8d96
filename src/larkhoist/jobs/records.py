"""Define the records of staged jobs on the platform's log.

Each kind of record of a job has its own key. Any instance may write acceptance and
cancellation; only the owner writes the others. The newest record of a key replaces
all older ones.

Every instance follows the stream of jobs. Progress has its own stream, which only a
new owner reads. Once a job has ended and none of its tasks may still run, only its
outcome is kept, until it expires.
"""

from collections.abc import Mapping
from math import ceil
from typing import Annotated

import msgspec

from larkhoist.jobs.run_ranges import RunRanges
from larkhoist.jobs.spec import StagedJob
from larkhoist.ports.keyed_log import KeyedRecord

__all__ = [
    "JOB_STREAM",
    "PROGRESS_STREAM",
    "SPEEDS_VERSION",
    "BlockId",
    "BlockProgress",
    "DoneRuns",
    "JobAccepted",
    "JobBegun",
    "JobCancelRequested",
    "JobOutcome",
    "JobRecord",
    "LostWorkers",
    "PhaseId",
    "PhaseProgress",
    "ProgressPart",
    "RecordedLoss",
    "RecordedSpeed",
    "RemainingLeases",
    "TaskProgress",
    "WorkerSpeedsRecord",
    "count_block_tasks",
    "count_speeds_parts",
    "decode_job_record",
    "encode_job_record",
    "get_block_number",
    "get_first_task",
    "make_closing_records",
    "make_expiry_records",
    "make_leases_record",
    "make_progress_drop",
    "make_speeds_records",
    "may_use_blocks",
    "shows_run",
]

JOB_STREAM = "jobs"
PROGRESS_STREAM = "progress"
BLOCK_TASKS = 16
"""Number of tasks in a block of progress. A task takes some 50 bytes, so that a changed
block takes less than 1 kB. All builds that write blocks must use the same number."""
SPEEDS_VERSION = 1
SPEEDS_PER_RECORD = 2000
"""How many workers a record of speeds holds, which is well below the limit of 200 kB
for an append."""


class PhaseId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifier of one step of one run of a job."""

    job_id: str
    run: int
    step: int


class JobAccepted(msgspec.Struct, frozen=True, tag="a"):
    """An accepted job; a second record of the same job has no effect."""

    job: StagedJob


class JobCancelRequested(msgspec.Struct, frozen=True, tag="c"):
    """Request to cancel a job."""

    job_id: str


class JobBegun(msgspec.Struct, frozen=True, tag="b"):
    """Record that a worker has begun at least one task of the job."""

    job_id: str


class LostWorkers(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of workers lost while assigned a task, and of its starts since then.

    - ``crashes``: workers that crashed while the task ran there.
    - ``blamed``: those of ``crashes`` that the task most likely caused.
    - ``unsure``: workers that may only have been cut off, or on which the task may not
      have run. A worker that proves to have been cut off is taken out again.
    - ``late_starts``: starts of the task after the third lost worker.
    - ``unseen``: those of ``unsure`` that never reported the task as running, while
      other tasks had just been started there as well.
    """

    crashes: int = 0
    blamed: int = 0
    unsure: int = 0
    late_starts: int = 0
    unseen: int = 0

    @property
    def count(self) -> int:
        """Return the total number of lost workers."""
        return self.crashes + self.unsure


class RecordedLoss(msgspec.Struct, frozen=True, array_like=True):
    """A lost worker of which it is unknown whether it crashed or was cut off.

    - ``index``: the index of the task that it was lost under.
    - ``worker``, ``address``, ``started_ms``: its name, address and start time (Unix
      milliseconds, 0 if unknown).
    - ``lost_ms``: when its lease ended (Unix milliseconds).
    - ``may_be_crash``: whether a new incarnation in its place shows a crash under the
      task.
    - ``is_newest``: whether the task was among those that began there last.
    - ``is_unseen``: whether the loss is counted in ``LostWorkers.unseen``.
    """

    index: int
    worker: str
    address: str = ""
    started_ms: int = 0
    lost_ms: int = 0
    may_be_crash: bool = False
    is_newest: bool = False
    is_unseen: bool = False


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """State of one task that a new owner needs.

    - ``worker``: the worker on which the attempt may run, empty if on none.
    - ``failures``: number of attempts that ended as failed.
    - ``checkpoint``: where the next attempt resumes.
    - ``address``: the worker's address, kept for when the platform no longer lists the
      worker; without it a new owner could neither stop the task nor renew the lease.
    - ``lost``: the workers lost while assigned the task.
    - ``worker_started_ms``: start time (Unix milliseconds) of the worker incarnation
      that the attempt was assigned to, 0 if unknown.
    - ``seen``: whether the worker has reported the attempt as running.
    - ``done_earlier``: whether an earlier attempt has ended as done, so that this one
      is only to be stopped.
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
    done_earlier: bool = False


class PhaseProgress(msgspec.Struct, frozen=True, tag="p"):
    """Progress of all tasks of one step of one run.

    ``failed_attempt`` is the last attempt of a gang whose failure was counted; a new
    owner must not count it again when another member of the gang ends. ``since_ms``
    (Unix milliseconds) is the time since which no task has started while some wait,
    or since which all are done; 0 if unknown. ``losses`` are those of the lost workers
    that may prove to have been cut off; builds from before them ignore the field.
    """

    phase: PhaseId
    tasks: tuple[TaskProgress, ...]
    failed_attempt: int = 0
    since_ms: int = 0
    losses: tuple[RecordedLoss, ...] | msgspec.UnsetType = msgspec.UNSET


class BlockId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifier of one block of tasks of one step of one run of a job."""

    phase: PhaseId
    number: int


class BlockProgress(msgspec.Struct, frozen=True, tag="q"):
    """Progress of one block of tasks of a step; the other fields are of the step.

    Builds from before block records can't read it, so that they don't schedule the job.
    """

    phase: PhaseId
    number: Annotated[int, msgspec.Meta(ge=0)]
    tasks: Annotated[tuple[TaskProgress, ...], msgspec.Meta(min_length=1)]
    failed_attempt: int = 0
    since_ms: int = 0
    losses: tuple[RecordedLoss, ...] | msgspec.UnsetType = msgspec.UNSET


class DoneRuns(msgspec.Struct, frozen=True, tag="d"):
    """The runs of a job that are done and have no other progress on the log.

    Builds from before it can't read it, so that they don't schedule the job.
    """

    job_id: str
    runs: RunRanges


class RemainingLeases(msgspec.Struct, frozen=True, tag="l"):
    """Longest remaining time of the leases of silent workers, in ms by worker.

    The time runs from the write of the record at the latest. The owner that wrote it
    grants these workers no lease until a newer record no longer lists them.
    """

    remaining_ms: dict[str, int]


class RecordedSpeed(msgspec.Struct, frozen=True, array_like=True):
    """A worker's speed factor in thousandths, and how many samples it rests on."""

    factor_milli: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    samples: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class WorkerSpeedsRecord(msgspec.Struct, frozen=True, tag="s"):
    """Speed factors by worker, or a part of them if there are many workers.

    ``version`` changes with the meaning of the factors; others are not read.
    """

    speeds: dict[str, RecordedSpeed]
    version: int = SPEEDS_VERSION
    part: int | None = None


class JobOutcome(msgspec.Struct, frozen=True, tag="o"):
    """Result code of an ended job and its end time (Unix milliseconds).

    ``customer`` and ``queue`` tell who may query the job; nothing else is kept of it.
    Builds from before the queue leave it out.
    """

    job_id: str
    code: int
    at_ms: int
    customer: str = ""
    queue: str = ""


JobRecord = (
    JobAccepted
    | JobCancelRequested
    | JobBegun
    | PhaseProgress
    | BlockProgress
    | DoneRuns
    | RemainingLeases
    | WorkerSpeedsRecord
    | JobOutcome
)
ProgressPart = PhaseId | BlockId | DoneRuns
"""What names one record of a job's progress."""
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
        case BlockProgress(phase, number):
            key = _make_block_key(phase, number)
        case DoneRuns(job_id):
            key = _make_done_runs_key(job_id)
        case RemainingLeases():
            key = LEASES_KEY
        case WorkerSpeedsRecord(part=part):
            key = _make_speeds_key(part)
        case JobOutcome(job_id):
            key = f"o{job_id}"
    return KeyedRecord(key, _encoder.encode(record))


def make_closing_records(job_id: str) -> tuple[KeyedRecord, ...]:
    """Return records that remove all but the outcome of an ended job."""
    return tuple(KeyedRecord(f"{kind}{job_id}", b"") for kind in "abc")


def make_expiry_records(job_id: str) -> tuple[KeyedRecord, ...]:
    """Return records that remove all of an ended job, its outcome included.

    The other keys are removed again, since a caller that submitted the job a second
    time may have restored the acceptance.
    """
    return (*make_closing_records(job_id), KeyedRecord(f"o{job_id}", b""))


def make_leases_record(remaining_s: Mapping[str, float]) -> KeyedRecord:
    """Return the record of remaining leases, in seconds by worker; empty if none."""
    if not remaining_s:
        return KeyedRecord(LEASES_KEY, b"")
    remaining_ms = {name: ceil(1000 * left_s) for name, left_s in remaining_s.items()}
    return encode_job_record(RemainingLeases(remaining_ms))


def make_speeds_records(
    speeds: Mapping[str, RecordedSpeed], former_parts: int
) -> tuple[KeyedRecord, ...]:
    """Return the records of all speeds, and those that remove outdated parts.

    ``former_parts`` is the number of parts of the last record, 0 if there is none.
    """
    names = list(speeds)
    parts = count_speeds_parts(len(names))
    records = []
    for part in range(parts):
        chosen = names[part * SPEEDS_PER_RECORD : (part + 1) * SPEEDS_PER_RECORD]
        record = WorkerSpeedsRecord(
            {name: speeds[name] for name in chosen}, part=part if parts > 1 else None
        )
        records.append(encode_job_record(record))
    former = _list_speeds_keys(former_parts) - _list_speeds_keys(parts)
    return (*records, *(KeyedRecord(key, b"") for key in sorted(former)))


def count_speeds_parts(workers: int) -> int:
    """Return into how many records the speeds of so many workers are split."""
    return max(1, ceil(workers / SPEEDS_PER_RECORD))


def make_progress_drop(part: ProgressPart) -> KeyedRecord:
    """Return the record that removes a part from the stream of progress."""
    match part:
        case PhaseId():
            key = _make_phase_key(part)
        case BlockId(phase, number):
            key = _make_block_key(phase, number)
        case DoneRuns(job_id):
            key = _make_done_runs_key(job_id)
    return KeyedRecord(key, b"")


def may_use_blocks(count: int) -> bool:
    """Tell whether the progress of a step of ``count`` tasks may be in blocks."""
    return count > BLOCK_TASKS


def get_block_number(index: int) -> int:
    """Return the number of the block that holds a task."""
    return index // BLOCK_TASKS


def get_first_task(number: int) -> int:
    """Return the index of the first task of a block."""
    return number * BLOCK_TASKS


def count_block_tasks(count: int, number: int) -> int:
    """Return how many tasks a block holds of a step of ``count`` tasks, 0 if none."""
    return max(0, min(BLOCK_TASKS, count - get_first_task(number)))


def shows_run(task: TaskProgress) -> bool:
    """Tell whether the progress of a task shows that a worker has begun it."""
    return bool(task.done or task.seen or task.failures or task.checkpoint)


def decode_job_record(value: bytes) -> JobRecord:
    """Return the record in ``value``; raises ``msgspec.DecodeError``."""
    try:
        return _decoder.decode(value)
    except RecursionError as error:
        raise msgspec.DecodeError("values are nested too deeply") from error


def _make_phase_key(phase: PhaseId) -> str:
    return f"p{phase.job_id}.{phase.run}.{phase.step}"


def _make_done_runs_key(job_id: str) -> str:
    return f"d{job_id}"


def _make_block_key(phase: PhaseId, number: int) -> str:
    return f"{_make_phase_key(phase)}.{number}"


def _list_speeds_keys(parts: int) -> set[str]:
    if parts <= 1:
        return {_make_speeds_key(None)} if parts else set()
    return {_make_speeds_key(part) for part in range(parts)}


def _make_speeds_key(part: int | None) -> str:
    return "s" if part is None else f"s{part}"
