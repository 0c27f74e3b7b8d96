"""Decide whether this instance owns its data hall, worker by worker.

An owner holds a lease with an epoch at each worker. It commands a worker only until
the lease expires by its own clock, counted from before the request was sent. To
become owner an instance needs the leases of a majority of the hall's workers, and to
remain owner at least half of them, so that of two candidates that cannot reach each
other at most one owns the hall.
"""

from dataclasses import dataclass, field
from enum import Enum

from larkhoist.ports.worker import LeaseReply, TaskReport

__all__ = ["LeaseTerms", "Tenure", "WorkerLease", "WorkerLink"]

# How long an unlisted worker is still tracked after it must be idle.
UNLISTED_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Times of leases, in seconds.

    A worker stops its tasks ``task_term_s`` after the last renewal; this exceeds
    ``term_s`` by the time that a new owner needs to take over. A worker that has not
    answered for ``lost_after_s`` is given up: its tasks are no longer renewed.
    """

    term_s: float = 3.0
    renew_s: float = 1.0
    task_term_s: float = 10.0
    lost_after_s: float = 4.0
    margin_s: float = 0.5


class WorkerLink(Enum):
    """State of one worker's lease, as far as this instance can tell."""

    UNKNOWN = "unknown"
    HELD = "held"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class WorkerLease:
    """One worker's lease, by the clock of this instance.

    ``epoch`` exceeds the tenure's if the worker has seen a higher one or this
    instance's lease has expired there. ``renewing_s`` is when the last request was sent
    that may have prolonged the worker's tasks, whether or not an answer arrived.
    ``tasks`` is the report that came with the last grant in this tenure.
    """

    epoch: int
    link: WorkerLink = WorkerLink.UNKNOWN
    until_s: float = 0.0
    renewing_s: float | None = None
    answered_s: float | None = None
    tasks: tuple[TaskReport, ...] = ()


@dataclass(slots=True)
class Tenure:
    """The ownership of a data hall by this instance, or its attempt to gain it.

    ``instance`` identifies one run of the process, so that a restarted instance never
    mistakes the leases of its earlier run for its own.
    """

    instance: str
    terms: LeaseTerms
    epoch: int = 0
    seen_epoch: int = 0
    workers: dict[str, WorkerLease] = field(default_factory=dict)
    majority_since_s: float | None = None
    candidate_since_s: float | None = None
    unlisted: dict[str, float] = field(default_factory=dict)

    def set_workers(self, names: set[str], now_s: float) -> None:
        """Replace the list of the hall's workers.

        A worker that has left the list is no longer renewed and does not count for the
        majority; its last renewal was sent before ``now_s``.
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
        self.candidate_since_s = now_s
        self.workers = {name: WorkerLease(self.epoch) for name in self.workers}

    def end(self) -> None:
        """Give up ownership or the attempt to gain it; held leases simply expire."""
        self.majority_since_s = None
        self.candidate_since_s = None

    @property
    def is_trying(self) -> bool:
        """Tell whether leases are to be requested and renewed."""
        return self.candidate_since_s is not None

    def must_yield(self, now_s: float) -> bool:
        """Tell whether this instance got no majority in time and must let others try.

        The limit allows for a whole term until another owner's leases have expired.
        """
        if self.candidate_since_s is None or self.has_majority:
            return False
        late_s = self.terms.term_s * 2 + self.terms.renew_s
        return now_s - self.candidate_since_s > late_s

    def get_epoch(self, name: str) -> int:
        """Return the epoch to use in requests to a worker."""
        return self.workers[name].epoch

    def get_task_term(self, name: str, now_s: float) -> float:
        """Return the task term to request from a worker, 0 if it was given up."""
        lease = self.workers[name]
        if lease.answered_s is None:
            return self.terms.task_term_s
        if now_s - lease.answered_s > self.terms.lost_after_s:
            return 0.0
        return self.terms.task_term_s

    def note_sent(self, name: str, sent_s: float, task_term_s: float) -> None:
        """Record that a lease request is sent."""
        if task_term_s > 0:
            self.workers[name].renewing_s = sent_s

    def note_reply(self, name: str, sent_s: float, reply: LeaseReply) -> None:
        """Apply a worker's answer to a request that was sent at ``sent_s``."""
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
        """Record that a worker did not answer."""
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
        """Update expired leases, unlisted workers and the majority to ``now_s``."""
        for name in list(self.unlisted):
            if self.must_be_idle(name, now_s - UNLISTED_RETENTION_S):
                del self.unlisted[name]
        for name, lease in self.workers.items():
            if lease.link is WorkerLink.HELD and not self.holds(name, now_s):
                lease.link = WorkerLink.UNREACHABLE
        held = sum(self.holds(name, now_s) for name in self.workers)
        if held * 2 <= len(self.workers) and not self._continues_with_half(held):
            self.majority_since_s = None
        elif self.majority_since_s is None:
            self.majority_since_s = now_s

    def _continues_with_half(self, held: int) -> bool:
        # Half of the leases is enough to remain owner but not to become one, so that
        # the two halves of a hall never have an owner each.
        owned = self.majority_since_s is not None
        return owned and held > 0 and held * 2 == len(self.workers)

    @property
    def has_majority(self) -> bool:
        """Tell whether this instance owns the hall, as of the last update."""
        return self.majority_since_s is not None

    def must_be_idle(self, name: str, now_s: float) -> bool:
        """Tell whether an unreachable worker must have stopped all its tasks.

        The previous owner may have renewed the worker until it lost its majority, which
        was before this instance gained one.
        """
        if self.majority_since_s is None:
            return False
        lease = self.workers.get(name)
        renewing_s = self.unlisted.get(name) if lease is None else lease.renewing_s
        last_s = self.majority_since_s
        if renewing_s is not None:
            last_s = max(last_s, renewing_s)
        return now_s > last_s + self.terms.term_s + self.get_idle_delay_s()

    def get_idle_delay_s(self) -> float:
        """Return the seconds from the end of a lease until its tasks have stopped."""
        return self.terms.task_term_s + self.terms.margin_s

    def is_settled(self, now_s: float) -> bool:
        """Tell whether every worker is held or must have stopped its tasks.

        Only then has the owner a complete view of what runs in the hall.
        """
        return self.has_majority and all(
            self.is_known(name, now_s) for name in (*self.workers, *self.unlisted)
        )

    def is_known(self, name: str, now_s: float) -> bool:
        """Tell whether a worker is held or must have stopped its tasks."""
        return self.holds(name, now_s) or self.must_be_idle(name, now_s)

    def get_reports(self) -> dict[str, tuple[TaskReport, ...]]:
        """Return the last report of each worker in this tenure."""
        # Reports from before the majority count too: once a worker has granted its
        # lease to this instance, no earlier owner can command it.
        return {name: lease.tasks for name, lease in self.workers.items()}
