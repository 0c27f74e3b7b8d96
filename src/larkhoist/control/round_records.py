"""Sort what a round of decisions asks to be kept by stream and order."""

from dataclasses import dataclass

from larkhoist.fleet.effects import Round
from larkhoist.jobs.records import (
    PhaseProgress,
    encode_job_record,
    make_closing_records,
    make_leases_record,
    make_phase_drop,
)
from larkhoist.ports.keyed_log import KeyedRecord

__all__ = ["RoundRecords", "encode_round"]


@dataclass(frozen=True, slots=True)
class RoundRecords:
    """Hold the records of one round.

    ``jobs`` and ``progress`` go to their streams at the same time, and either may get
    there without the other: a successor makes the outcome from the progress, and
    stops what runs on after an outcome. ``dropped`` goes to the stream of progress
    only once ``jobs`` is on the log: a job without outcome and progress is run anew.
    """

    jobs: tuple[KeyedRecord, ...]
    progress: tuple[KeyedRecord, ...]
    dropped: tuple[KeyedRecord, ...]


def encode_round(decided: Round) -> RoundRecords:
    """Return the records that the round asks for."""
    jobs, progress, dropped = [], [], []
    for record in decided.records:
        stream = progress if isinstance(record, PhaseProgress) else jobs
        stream.append(encode_job_record(record))
    for ended in decided.ended:
        jobs += make_closing_records(ended.job_id)
        dropped += [make_phase_drop(phase) for phase in ended.phases]
    if decided.leases is not None:
        progress.append(make_leases_record(decided.leases.remaining_s))
    return RoundRecords(tuple(jobs), tuple(progress), tuple(dropped))
