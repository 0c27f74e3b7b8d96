"""Hold the effects that the scheduler of staged jobs requests from its driver."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from larkhoist.fleet.silent_leases import LeaseNote
from larkhoist.fleet.speeds import SpeedFactor
from larkhoist.jobs.records import JobRecord, ProgressPart

__all__ = [
    "EndedJob",
    "Note",
    "Round",
    "SeenEnds",
    "SpeedsNote",
    "StartTask",
    "StopTask",
]


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start one attempt, once the round's records are on the log.

    ``started_ms`` is the start time of the worker incarnation that it is meant for, in
    Unix milliseconds, 0 if unknown.
    """

    worker: str
    task: str
    attempt: int
    payload: str
    checkpoint: str
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop one attempt at once."""

    worker: str
    task: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Note:
    """Hold a log event with the decision and its inputs."""

    event: str
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class EndedJob:
    """Name an ended job of which only the outcome is kept.

    ``parts`` is the progress of it that may be on the log.
    """

    job_id: str
    parts: tuple[ProgressPart, ...]


@dataclass(frozen=True, slots=True)
class SeenEnds:
    """Hold the number of the last end that was processed from a worker's reports.

    ``started_ms`` is the start time of the worker incarnation that numbered it, in Unix
    milliseconds.
    """

    started_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class SpeedsNote:
    """Hold the speed factors of all known workers, for the log.

    ``former_parts`` is the number of parts of the record that this one replaces.
    """

    speeds: Mapping[str, SpeedFactor]
    former_parts: int


@dataclass(slots=True)
class Round:
    """Hold the effects of one call to ``decide``.

    ``seen`` holds, by worker, the last end that ``records`` cover. It may be
    acknowledged once they are on the log. ``probes`` names workers to call at once, to
    test whether they answer. ``ended`` names jobs none of whose tasks may run any more,
    ``folded`` progress that is to be removed once ``records`` are on the log.
    ``leases`` is the note on silent workers for the log, ``speeds`` that on the speeds
    of workers.
    """

    records: list[JobRecord] = field(default_factory=list)
    starts: list[StartTask] = field(default_factory=list)
    stops: list[StopTask] = field(default_factory=list)
    notes: list[Note] = field(default_factory=list)
    seen: dict[str, SeenEnds] = field(default_factory=dict)
    probes: list[str] = field(default_factory=list)
    ended: list[EndedJob] = field(default_factory=list)
    folded: list[ProgressPart] = field(default_factory=list)
    leases: LeaseNote | None = None
    speeds: SpeedsNote | None = None

    @property
    def has_effects(self) -> bool:
        """Tell whether the round has records, or effects that wait for earlier ones."""
        return bool(
            self.records
            or self.starts
            or self.seen
            or self.ended
            or self.leases
            or self.speeds
        )
