"""Encode the decisions of a round as records of the log's streams."""

from dataclasses import dataclass

from larkhoist.fleet.effects import Round, SpeedsNote
from larkhoist.jobs.records import (
    BlockProgress,
    DoneRuns,
    PhaseProgress,
    RecordedSpeed,
    encode_job_record,
    make_closing_records,
    make_leases_record,
    make_progress_drop,
    make_speeds_records,
)
from larkhoist.ports.keyed_log import KeyedRecord

__all__ = ["RoundRecords", "encode_round"]


@dataclass(frozen=True, slots=True)
class RoundRecords:
    """The records of one round of decisions.

    ``jobs`` and ``progress`` are appended concurrently to their streams, and either may
    arrive without the other: the next owner derives a missing outcome from the
    progress, and stops tasks that still run after an outcome. ``dropped`` is appended
    to the progress stream only once ``jobs`` and ``progress`` are on the log, since a
    job without outcome and progress runs again.
    """

    jobs: tuple[KeyedRecord, ...]
    progress: tuple[KeyedRecord, ...]
    dropped: tuple[KeyedRecord, ...]


def encode_round(decided: Round) -> RoundRecords:
    """Return the records of a round."""
    jobs, progress = [], []
    dropped = [make_progress_drop(part) for part in decided.folded]
    for record in decided.records:
        is_progress = isinstance(record, PhaseProgress | BlockProgress | DoneRuns)
        stream = progress if is_progress else jobs
        stream.append(encode_job_record(record))
    for ended in decided.ended:
        jobs += make_closing_records(ended.job_id)
        dropped += [make_progress_drop(part) for part in ended.parts]
    if decided.leases is not None:
        progress.append(make_leases_record(decided.leases.remaining_s))
    if decided.speeds is not None:
        progress += _encode_speeds(decided.speeds)
    return RoundRecords(tuple(jobs), tuple(progress), tuple(dropped))


def _encode_speeds(note: SpeedsNote) -> tuple[KeyedRecord, ...]:
    speeds = {
        worker: RecordedSpeed(round(1000 * known.factor), known.samples)
        for worker, known in note.speeds.items()
    }
    return make_speeds_records(speeds, note.former_parts)
