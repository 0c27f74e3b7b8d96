"""Fold the log's records into the state of every staged job.

Every instance keeps a book; it is what callers are answered from and what a new
owner starts with.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from larkhoist.codes import Code
from larkhoist.daemon.logs import log_event
from larkhoist.jobs.records import (
    JOB_STREAM,
    PROGRESS_STREAM,
    JobAccepted,
    JobBegun,
    JobCancelRequested,
    JobOutcome,
    JobRecord,
    PhaseId,
    PhaseProgress,
    RemainingLeases,
    decode_job_record,
)
from larkhoist.jobs.spec import StagedJob
from larkhoist.ports.keyed_log import StoredRecord

__all__ = ["BookEntry", "JobBook", "JobState"]


_logger = logging.getLogger(__name__)


class JobState(Enum):
    """Name the states that a caller is shown."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


_OUTCOME_STATES = {
    Code.JOB_FINISHED: JobState.FINISHED,
    Code.JOB_FAILED: JobState.FAILED,
    Code.JOB_CANCELLED: JobState.CANCELLED,
}


@dataclass(slots=True)
class BookEntry:
    """Hold what the log says of one job; records of a job may come in any order.

    Of an ended job, ``job`` may be gone. ``phases`` is what the owner took over. Where
    part of it is ``unreadable``, nobody knows what may run or has run of the job.
    """

    job: StagedJob | None = None
    cancelled: bool = False
    begun: bool = False
    outcome: JobOutcome | None = None
    phases: dict[PhaseId, PhaseProgress] = field(default_factory=dict)
    unreadable: bool = False

    @property
    def state(self) -> JobState:
        """Return the state that a caller is shown."""
        if self.outcome is not None:
            return _OUTCOME_STATES[Code(self.outcome.code)]
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.begun else JobState.WAITING

    @property
    def customer(self) -> str:
        """Return the name of the customer, empty where the queue was public."""
        if self.job is not None:
            return self.job.customer
        return self.outcome.customer if self.outcome is not None else ""


class JobBook:
    """Hold the entries of all jobs by id.

    ``remaining_leases_s`` is how long leases of silent workers may last, by worker, in
    seconds from when the progress was taken over.
    """

    def __init__(self):
        self.entries: dict[str, BookEntry] = {}
        self.remaining_leases_s: dict[str, float] = {}

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Start anew from the newest record of each key."""
        self.entries = {}
        for record in records:
            self.apply(record)

    def apply(self, record: StoredRecord) -> JobRecord | None:
        """Take one record of the log over; return it decoded.

        None means that the record dropped a key or can't be read.
        """
        if not record.value:
            self._drop(record.key)
            return None
        try:
            decoded = decode_job_record(record.value)
        except msgspec.DecodeError as error:
            _log_unreadable(JOB_STREAM, record, error)
            return None
        self._take(decoded)
        return decoded

    def get(self, job_id: str) -> BookEntry | None:
        """Return the entry of an accepted job."""
        entry = self.entries.get(job_id)
        if entry is None or (entry.job is None and entry.outcome is None):
            return None
        return entry

    def count_waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            entry.job is not None
            and entry.job.queue == queue
            and entry.state is JobState.WAITING
            for entry in self.entries.values()
        )

    def take_progress(self, records: Iterable[StoredRecord]) -> list[PhaseId]:
        """Take over the progress of all jobs in place of what was known of it.

        Returns the phases of jobs that are closed: their owner died before it had
        dropped them.
        """
        for entry in self.entries.values():
            entry.phases = {}
            entry.unreadable = False
        self.remaining_leases_s = {}
        left_over = []
        for record in records:
            match _decode_progress(record):
                case None:
                    self._note_unreadable(record.key)
                case RemainingLeases(remaining_ms):
                    self.remaining_leases_s = {
                        name: left_ms / 1000 for name, left_ms in remaining_ms.items()
                    }
                case PhaseProgress(phase) as progress:
                    entry = self.entries.get(phase.job_id)
                    if entry is None or entry.job is None:
                        left_over.append(phase)
                    else:
                        entry.phases[phase] = progress
        return left_over

    def _note_unreadable(self, key: str) -> None:
        """Hold a job of whose progress a part can't be read: it might run twice."""
        job_id = key[1:].partition(".")[0]
        entry = self.entries.get(job_id)
        if entry is not None:
            entry.unreadable = True

    def list_expired(self, before_ms: int) -> list[str]:
        """Return the jobs that ended before a time (Unix milliseconds)."""
        return [
            job_id
            for job_id, entry in self.entries.items()
            if entry.outcome is not None and entry.outcome.at_ms < before_ms
        ]

    def _take(self, record: JobRecord) -> None:
        match record:
            case JobAccepted(job):
                entry = self._open(job.job_id)
                if entry.job is None and entry.outcome is None:
                    entry.job = job
            case JobCancelRequested(job_id):
                self._open(job_id).cancelled = True
            case JobBegun(job_id):
                self._open(job_id).begun = True
            case PhaseProgress(phase):
                self._open(phase.job_id).phases[phase] = record
            case JobOutcome(job_id):
                self._open(job_id).outcome = record

    def _open(self, job_id: str) -> BookEntry:
        return self.entries.setdefault(job_id, BookEntry())

    def _drop(self, key: str) -> None:
        job_id = key[1:]
        entry = self.entries.get(job_id)
        if entry is None:
            return
        if key.startswith("o") or key.startswith("a") and entry.outcome is None:
            del self.entries[job_id]
        elif key.startswith("a"):
            entry.job = None
            entry.phases = {}


def _decode_progress(record: StoredRecord) -> PhaseProgress | RemainingLeases | None:
    try:
        decoded = decode_job_record(record.value)
    except msgspec.DecodeError as error:
        _log_unreadable(PROGRESS_STREAM, record, error)
        return None
    if isinstance(decoded, PhaseProgress | RemainingLeases):
        return decoded
    _log_unreadable(PROGRESS_STREAM, record, f"{type(decoded).__name__}, no progress")
    return None


def _log_unreadable(stream: str, record: StoredRecord, error: Exception | str) -> None:
    log_event(
        _logger,
        "record-unreadable",
        logging.WARNING,
        stream=stream,
        key=record.key,
        offset=record.offset,
        reason=error,
    )
