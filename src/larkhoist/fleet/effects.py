"""Hold what the scheduler of staged jobs asks its driver to do."""

from dataclasses import dataclass, field

from larkhoist.fleet.silent_leases import LeaseNote
from larkhoist.jobs.records import JobRecord, PhaseId

__all__ = ["EndedJob", "Note", "Round", "SeenEnds", "StartTask", "StopTask"]


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start one attempt, once the round's records are on the log.

    ``started_ms`` identifies the incarnation of the worker that it is meant for, 0 if
    unknown.
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
    """Say what was decided and by which inputs, for the logs."""

    event: str
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class EndedJob:
    """Name a job of which only the outcome has to be kept."""

    job_id: str
    phases: tuple[PhaseId, ...]


@dataclass(frozen=True, slots=True)
class SeenEnds:
    """Hold the number of the last end that was taken from a worker.

    ``started_ms`` identifies the incarnation of the worker that numbered it.
    """

    started_ms: int
    number: int


@dataclass(slots=True)
class Round:
    """Hold what one call to ``decide`` asks for.

    ``seen`` holds, by worker, the last end that ``records`` cover; it may be
    acknowledged once they are on the log. ``probes`` names workers to be
    asked at once whether they answer. ``ended`` names jobs none of whose tasks may
    run any more. ``leases`` is what the log must keep of silent workers.
    """

    records: list[JobRecord] = field(default_factory=list)
    starts: list[StartTask] = field(default_factory=list)
    stops: list[StopTask] = field(default_factory=list)
    notes: list[Note] = field(default_factory=list)
    seen: dict[str, SeenEnds] = field(default_factory=dict)
    probes: list[str] = field(default_factory=list)
    ended: list[EndedJob] = field(default_factory=list)
    leases: LeaseNote | None = None

    @property
    def has_effects(self) -> bool:
        """Tell whether something goes to the log, or waits for what went before."""
        return bool(
            self.records or self.starts or self.seen or self.ended or self.leases
        )
