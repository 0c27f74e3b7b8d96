"""Decide whether this instance owns its data hall, worker by worker.

An owner holds a lease with an epoch at each worker. It acts on a worker only
while its own count of that lease, started before the request left, has not run
out. It keeps its tenure only with the leases of a majority of the hall's workers,
so that of two candidates that are cut off from each other at most one goes on.
"""

from dataclasses import dataclass, field
from enum import Enum

from larkhoist.ports.worker import LeaseReply, TaskReport

__all__ = ["LeaseTerms", "Tenure", "WorkerLease", "WorkerLink"]


KEEP_UNLISTED_S = 60.0


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Hold the times of leases, in seconds.

    ``task_term_s`` is how long tasks outlive the last renewal; it exceeds
    ``term_s`` by the time that a new owner needs to take over. A worker that is
    silent for ``lost_after_s`` is given up: its tasks are not renewed any more.
    """

    term_s: float = 3.0
    renew_s: float = 1.0
    task_term_s: float = 10.0
    lost_after_s: float = 4.0
    margin_s: float = 0.5


class WorkerLink(Enum):
    """Name what this instance knows of one worker's lease."""

    UNKNOWN = "unknown"
    HELD = "held"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class WorkerLease:
    """Hold one worker's lease as this instance counts it.

    ``epoch`` rises above the tenure's where the worker has seen a higher one or
    has let our own lease lapse. ``renewing_s`` is when the last request left that,
    granted or not heard of, lets the worker's tasks go on. ``tasks`` is the report
    that came with the last grant in this tenure.
    """

    epoch: int
    link: WorkerLink = WorkerLink.UNKNOWN
    until_s: float = 0.0
    renewing_s: float | None = None
    answered_s: float | None = None
    tasks: tuple[TaskReport, ...] = ()


@dataclass(slots=True)
class Tenure:
    """Hold this instance's claim to own its data hall.

    ``instance`` names one incarnation, so that a restarted instance never takes
    the leases of its predecessor for its own.
    """

    instance: str
    terms: LeaseTerms
    epoch: int = 0
    seen_epoch: int = 0
    workers: dict[str, WorkerLease] = field(default_factory=dict)
    majority_since_s: float | None = None
    tried_since_s: float | None = None
    unlisted: dict[str, float] = field(default_factory=dict)

    def set_workers(self, names: set[str], now_s: float) -> None:
        """Take over the list of the hall's workers.

        One that has left the list is not renewed any more and does not count for
        the majority; its last renewal left before ``now_s``.
        """
        for name in names - self.workers.keys():
            renewing_s = self.unlisted.pop(name, None)
            self.workers[name] = WorkerLease(self.epoch, renewing_s=renewing_s)
        for name in self.workers.keys() - names:
            del self.workers[name]
            self.unlisted[name] = now_s

    def begin(self, now_s: float) -> None:
        """Start a tenure with an epoch above every epoch seen."""
        self.epoch = max(self.seen_epoch, self.epoch) + 1
        self.majority_since_s = None
        self.tried_since_s = now_s
        self.workers = {name: WorkerLease(self.epoch) for name in self.workers}

    def end(self) -> None:
        """Stop trying; leases that are held run out by themselves."""
        self.majority_since_s = None
        self.tried_since_s = None

    @property
    def is_trying(self) -> bool:
        """Tell whether leases are to be asked for and renewed."""
        return self.tried_since_s is not None

    def must_yield(self, now_s: float) -> bool:
        """Tell whether a try has failed and must end, so that others get through.

        Another owner's leases may take a whole term to lapse.
        """
        if self.tried_since_s is None or self.has_majority:
            return False
        late_s = self.terms.term_s * 2 + self.terms.renew_s
        return now_s - self.tried_since_s > late_s

    def get_epoch(self, name: str) -> int:
        """Return the epoch under which to speak to a worker."""
        return self.workers[name].epoch

    def get_task_term(self, name: str, now_s: float) -> float:
        """Return the task term to ask of a worker, 0 where it was given up."""
        lease = self.workers[name]
        if lease.answered_s is None:
            return self.terms.task_term_s
        if now_s - lease.answered_s > self.terms.lost_after_s:
            return 0.0
        return self.terms.task_term_s

    def note_sent(self, name: str, sent_s: float, task_term_s: float) -> None:
        """Note that a lease request leaves."""
        if task_term_s > 0:
            self.workers[name].renewing_s = sent_s

    def note_reply(self, name: str, sent_s: float, reply: LeaseReply) -> None:
        """Take a worker's answer; ``sent_s`` is when the request left."""
        self.seen_epoch = max(self.seen_epoch, reply.epoch)
        lease = self.workers.get(name)
        if lease is None:
            return
        if reply.granted:
            lease.link = WorkerLink.HELD
            lease.until_s = sent_s + self.terms.term_s
            lease.answered_s = sent_s
            lease.tasks = reply.tasks
        else:
            lease.link = WorkerLink.REFUSED
            lease.epoch = max(lease.epoch, reply.epoch + 1)

    def note_silence(self, name: str) -> None:
        """Note that a worker did not answer."""
        lease = self.workers.get(name)
        if lease is not None and lease.link is not WorkerLink.HELD:
            lease.link = WorkerLink.UNREACHABLE

    def holds(self, name: str, now_s: float) -> bool:
        """Tell whether this instance may command the worker now."""
        lease = self.workers.get(name)
        return (
            lease is not None
            and lease.link is WorkerLink.HELD
            and now_s < lease.until_s
        )

    def update(self, now_s: float) -> None:
        """Bring lapsed leases, unlisted workers and the majority up to ``now_s``."""
        for name in list(self.unlisted):
            if self.is_surely_idle(name, now_s - KEEP_UNLISTED_S):
                del self.unlisted[name]
        for name, lease in self.workers.items():
            if lease.link is WorkerLink.HELD and not self.holds(name, now_s):
                lease.link = WorkerLink.UNREACHABLE
        held = sum(self.holds(name, now_s) for name in self.workers)
        if held * 2 <= len(self.workers) and not self._keeps_half(held):
            self.majority_since_s = None
        elif self.majority_since_s is None:
            self.majority_since_s = now_s

    def _keeps_half(self, held: int) -> bool:
        # Half is enough to go on but not to begin, so that two halves of a
        # hall never have an owner each.
        owned = self.majority_since_s is not None
        return owned and held > 0 and held * 2 == len(self.workers)

    @property
    def has_majority(self) -> bool:
        """Tell whether this instance owns the hall, as of the last update."""
        return self.majority_since_s is not None

    def is_surely_idle(self, name: str, now_s: float) -> bool:
        """Tell whether a worker out of reach must have stopped all its tasks.

        The owner before may have renewed it until it lost its own majority,
        which was before this instance had one.
        """
        if self.majority_since_s is None:
            return False
        lease = self.workers.get(name)
        renewing_s = self.unlisted.get(name) if lease is None else lease.renewing_s
        last_s = self.majority_since_s
        if renewing_s is not None:
            last_s = max(last_s, renewing_s)
        return now_s > last_s + self.terms.term_s + self.get_idle_wait()

    def get_idle_wait(self) -> float:
        """Return the seconds after a lease's end until its tasks are stopped."""
        return self.terms.task_term_s + self.terms.margin_s

    def is_settled(self, now_s: float) -> bool:
        """Tell whether every worker is held or must have stopped its tasks.

        Only then does the owner know all that runs in the hall.
        """
        return self.has_majority and all(
            self.is_known(name, now_s) for name in (*self.workers, *self.unlisted)
        )

    def is_known(self, name: str, now_s: float) -> bool:
        """Tell whether a worker is held or must have stopped its tasks."""
        return self.holds(name, now_s) or self.is_surely_idle(name, now_s)

    def get_reports(self) -> dict[str, tuple[TaskReport, ...]]:
        """Return what each worker reported last in this tenure."""
        # Also what was given before the majority counts: no earlier owner can
        # command a worker once it has granted the lease to this one.
        return {name: lease.tasks for name, lease in self.workers.items()}
