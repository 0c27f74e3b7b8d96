"""Build the state of every staged job from the records on the log.

Every instance keeps a job registry. Queries of callers are answered from it, and a new
owner loads its jobs from it.
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
    SPEEDS_VERSION,
    BlockId,
    BlockProgress,
    DoneRuns,
    JobAccepted,
    JobBegun,
    JobCancelRequested,
    JobOutcome,
    JobRecord,
    PhaseId,
    PhaseProgress,
    ProgressPart,
    RecordedSpeed,
    RemainingLeases,
    WorkerSpeedsRecord,
    decode_job_record,
)
from larkhoist.jobs.run_ranges import RunRanges
from larkhoist.jobs.spec import StagedJob
from larkhoist.jobs.step_progress import StoredProgress, combine_progress
from larkhoist.ports.keyed_log import StoredRecord

__all__ = ["JobRegistry", "JobState", "StagedJobEntry"]


_logger = logging.getLogger(__name__)


class JobState(Enum):
    """State of a job as shown to callers."""

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
class StagedJobEntry:
    """State of one job; its records may be applied in any order.

    ``job`` may be None once the job has ended. ``phases`` is the progress that this
    instance read when it became the owner, and ``blocks`` are the blocks in which the
    log holds some of it. ``done_runs`` are done runs that have no other progress. If a
    record can't be decoded, ``unreadable`` is set: it is unknown which tasks of the job
    run or have run.
    """

    job: StagedJob | None = None
    cancelled: bool = False
    begun: bool = False
    outcome: JobOutcome | None = None
    phases: dict[PhaseId, PhaseProgress] = field(default_factory=dict)
    blocks: set[BlockId] = field(default_factory=set)
    done_runs: RunRanges = RunRanges()
    unreadable: bool = False

    def clear_progress(self) -> None:
        """Forget the progress that was read from the log."""
        self.phases = {}
        self.blocks = set()
        self.done_runs = RunRanges()

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
        """Return the name of the customer, empty for a job of a public queue."""
        if self.job is not None:
            return self.job.customer
        return self.outcome.customer if self.outcome is not None else ""

    @property
    def queue(self) -> str:
        """Return the name of the queue that accepted the job, empty if unknown."""
        if self.job is not None:
            return self.job.queue
        return self.outcome.queue if self.outcome is not None else ""


class JobRegistry:
    """Entries of all jobs by id.

    ``remaining_leases_s`` is the longest time for which the leases of silent workers
    may last, by worker, in seconds from when the progress was loaded. ``speeds`` is the
    newest record of worker speeds, and ``speeds_parts`` into how many records it was
    split, 0 if there is none.
    """

    def __init__(self):
        self.entries: dict[str, StagedJobEntry] = {}
        self.remaining_leases_s: dict[str, float] = {}
        self.speeds: dict[str, RecordedSpeed] = {}
        self.speeds_parts = 0

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Rebuild all entries from the newest record of each key."""
        self.entries = {}
        for record in records:
            self.apply(record)

    def apply(self, record: StoredRecord) -> JobRecord | None:
        """Apply one record of the log and return it decoded.

        Returns None if the record removes its key or can't be decoded.
        """
        if not record.value:
            self._remove_key(record.key)
            return None
        try:
            decoded = decode_job_record(record.value)
        except msgspec.DecodeError as error:
            _log_unreadable(JOB_STREAM, record, error)
            return None
        self._apply_decoded(decoded)
        return decoded

    def get(self, job_id: str) -> StagedJobEntry | None:
        """Return the entry of an accepted job, None if there is none."""
        entry = self.entries.get(job_id)
        if entry is None or (entry.job is None and entry.outcome is None):
            return None
        return entry

    def count_waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return sum(
            entry.job is not None
            and entry.job.queue == queue
            and entry.state is JobState.WAITING
            for entry in self.entries.values()
        )

    def replace_progress(self, records: Iterable[StoredRecord]) -> list[ProgressPart]:
        """Replace the progress of all jobs by the one in ``records``.

        Returns the parts that belong to no open job, or to runs that are recorded as
        done. They remain on the log if an owner stops before it has removed them.
        """
        for entry in self.entries.values():
            entry.clear_progress()
            entry.unreadable = False
        self.remaining_leases_s = {}
        self.speeds = {}
        self.speeds_parts = 0
        by_phase: dict[PhaseId, list[StoredProgress]] = {}
        orphaned: list[ProgressPart] = []
        for record in records:
            match _decode_progress(record):
                case None:
                    self._mark_unreadable(record.key)
                case RemainingLeases(remaining_ms):
                    self.remaining_leases_s = {
                        name: left_ms / 1000 for name, left_ms in remaining_ms.items()
                    }
                case WorkerSpeedsRecord(speeds, part=part):
                    self.speeds |= speeds
                    self.speeds_parts = max(self.speeds_parts, 1 + (part or 0))
                case DoneRuns(job_id, runs) as done:
                    entry = self.entries.get(job_id)
                    if entry is None or entry.job is None:
                        orphaned.append(done)
                    else:
                        entry.done_runs = runs
                case PhaseProgress(phase) | BlockProgress(phase) as progress:
                    stored = StoredProgress(record.offset, progress)
                    by_phase.setdefault(phase, []).append(stored)
        for phase, stored in by_phase.items():
            entry = self.entries.get(phase.job_id)
            if entry is None or entry.job is None or phase.run in entry.done_runs:
                orphaned += [each.id for each in stored]
            else:
                _set_progress(entry, phase, stored)
        return orphaned

    def _mark_unreadable(self, key: str) -> None:
        """Mark a job as not to be scheduled, since its tasks might run twice."""
        job_id = key[1:].partition(".")[0]
        entry = self.entries.get(job_id)
        if entry is not None:
            entry.unreadable = True

    def list_expired(self, before_ms: int) -> list[str]:
        """Return the ids of jobs that ended before a time (Unix milliseconds)."""
        return [
            job_id
            for job_id, entry in self.entries.items()
            if entry.outcome is not None and entry.outcome.at_ms < before_ms
        ]

    def _apply_decoded(self, record: JobRecord) -> None:
        match record:
            case JobAccepted(job):
                entry = self._get_or_create(job.job_id)
                if entry.job is None and entry.outcome is None:
                    entry.job = job
            case JobCancelRequested(job_id):
                self._get_or_create(job_id).cancelled = True
            case JobBegun(job_id):
                self._get_or_create(job_id).begun = True
            case PhaseProgress(phase):
                self._get_or_create(phase.job_id).phases[phase] = record
            case JobOutcome(job_id):
                self._get_or_create(job_id).outcome = record

    def _get_or_create(self, job_id: str) -> StagedJobEntry:
        return self.entries.setdefault(job_id, StagedJobEntry())

    def _remove_key(self, key: str) -> None:
        job_id = key[1:]
        entry = self.entries.get(job_id)
        if entry is None:
            return
        if key.startswith("o") or key.startswith("a") and entry.outcome is None:
            del self.entries[job_id]
        elif key.startswith("a"):
            entry.job = None
            entry.clear_progress()


def _set_progress(
    entry: StagedJobEntry, phase: PhaseId, stored: list[StoredProgress]
) -> None:
    """Set the progress of one step from all its records."""
    blocks = {each.id for each in stored if isinstance(each.id, BlockId)}
    if not blocks:
        entry.phases[phase] = stored[-1].record
        return
    steps = entry.job.steps
    has_step = 0 <= phase.step < len(steps)
    combined = combine_progress(steps[phase.step], stored) if has_step else None
    if combined is None:
        entry.unreadable = True
        log_event(
            _logger,
            "progress-unreadable",
            logging.WARNING,
            job=phase.job_id,
            run=phase.run,
            step=phase.step,
            reason="a block doesn't fit the step",
        )
        return
    entry.phases[phase] = combined
    entry.blocks |= blocks


def _decode_progress(
    record: StoredRecord,
) -> (
    PhaseProgress
    | BlockProgress
    | DoneRuns
    | RemainingLeases
    | WorkerSpeedsRecord
    | None
):
    try:
        decoded = decode_job_record(record.value)
    except msgspec.DecodeError as error:
        _log_unreadable(PROGRESS_STREAM, record, error)
        return None
    match decoded:
        case WorkerSpeedsRecord(version=version) if version != SPEEDS_VERSION:
            _log_unreadable(PROGRESS_STREAM, record, f"version {version}")
            return None
        case (
            PhaseProgress()
            | BlockProgress()
            | DoneRuns()
            | RemainingLeases()
            | WorkerSpeedsRecord()
        ):
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
