"""Simulate one hall: the scheduler, stand-in workers, a log and a simulated clock.

Tests lose replies (commands are then sent again), delay commands, kill and cut off
workers, and freeze and replace the owner, in any order.
"""

from dataclasses import dataclass, field

from larkhoist.log.fold import fold_batch
from larkhoist.log.objects import CustomerSpec, JobSpec
from larkhoist.log.records import Batch, JobCancelled, JobClaimed, JobPut, Record
from larkhoist.log.state import ClusterState, JobState
from larkhoist.ownership.roster import ListedWorker, match_workers, recover_jobs
from larkhoist.ownership.tenure import LeaseTerms, Tenure
from larkhoist.ports.worker import CommandRequest, LeaseRequest, TaskCommand
from larkhoist.scheduling.effect import Append, Send
from larkhoist.scheduling.hall import HallScheduler, create_hall_scheduler
from larkhoist.scheduling.policy import SchedulingPolicy
from standins.worker import StandInWorker
from tests.checkers.gangs import TaskEvent

__all__ = ["HALL", "HallMachine", "Owner", "TERMS"]

HALL = "hall"
TERMS = LeaseTerms(
    term_s=3.0, renew_s=1.0, task_term_s=10.0, lost_after_s=4.0, margin_s=0.5
)
STEP_S = 0.25


@dataclass
class Owner:
    """Instance that owns the hall or tries to; times are in seconds."""

    name: str
    tenure: Tenure
    scheduler: HallScheduler | None = None
    frozen: bool = False
    outbox: list[tuple[str, TaskCommand]] = field(default_factory=list)
    renewed_s: float = -100.0
    next_try_s: float = 0.0


class HallMachine:
    """Simulated hall whose clock advances in steps of ``STEP_S`` seconds."""

    def __init__(self, workers: int, accelerators: int = 8, policy=None):
        self.now_s = 100.0
        self.policy = policy or SchedulingPolicy(patience_s=5.0, drain_s=10.0)
        self.workers = {
            f"w{n}": StandInWorker(f"w{n}", accelerators) for n in range(workers)
        }
        self.known_workers = {
            name: ListedWorker(f"r{number // 8}", accelerators)
            for number, name in enumerate(self.workers)
        }
        self.listed = dict(self.known_workers)
        self.dead_workers: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.lose_replies: set[str] = set()
        self.state = ClusterState()
        self.log_down = False
        self.pending: list[Record] = []
        self.sizes: dict[str, int] = {}
        self.loss_events: list[TaskEvent] = []
        self.owners: list[Owner] = []
        self.make_scheduler = create_hall_scheduler

    # External events.

    def put_customer(self, spec: CustomerSpec) -> None:
        """Add or replace a customer."""
        self.state.customers[spec.name] = spec

    def submit(self, spec: JobSpec) -> None:
        """Submit a job and claim it for this hall."""
        self.sizes[spec.job_id] = spec.members
        self._append(JobPut(spec))
        self._append(JobClaimed(spec.job_id, HALL))

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        self._append(JobCancelled(job_id))

    def add_owner(self, name: str) -> Owner:
        """Add an instance that competes for ownership of the hall."""
        owner = Owner(name, Tenure(name, TERMS))
        owner.tenure.set_workers(set(self.listed), self.now_s)
        self.owners.append(owner)
        return owner

    def kill_worker(self, name: str) -> None:
        """Kill a worker and lose all its tasks."""
        self.dead_workers.add(name)
        for task in self.workers[name].tasks.values():
            command = task.command
            if task.state.value in ("running", "throttled"):
                self.loss_events.append(
                    TaskEvent(
                        self.now_s,
                        command.job_id,
                        command.attempt,
                        command.member,
                        "lost",
                    )
                )
        self.workers[name].tasks.clear()

    def revive_worker(self, name: str) -> None:
        """Restart a dead worker without tasks."""
        self.dead_workers.discard(name)

    def unlist_worker(self, name: str) -> None:
        """Remove a worker from the platform's list; it goes on running."""
        self.listed.pop(name, None)
        self._update_owners()

    def relist_worker(self, name: str) -> None:
        """Put a worker back on the platform's list."""
        self.listed[name] = self.known_workers[name]
        self._update_owners()

    def _update_owners(self) -> None:
        for owner in self.owners:
            owner.tenure.set_workers(set(self.listed), self.now_s)

    # Clock.

    def run(self, seconds: float) -> None:
        """Advance the clock by ``seconds``, rounded up to whole steps."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.step()

    def step(self) -> None:
        """Advance the clock, the workers, the log and the owners by one step."""
        self.now_s += STEP_S
        for name, worker in self.workers.items():
            if name not in self.dead_workers:
                worker.tick(self.now_s)
        if not self.log_down:
            pending, self.pending = self.pending, []
            for record in pending:
                self._fold(record)
        for owner in self.owners:
            if not owner.frozen:
                self._step_owner(owner)

    def get_events(self) -> list[TaskEvent]:
        """Return every change of a task, in no particular order."""
        events = [
            TaskEvent(e.at_s, e.job_id, e.attempt, e.member, e.event)
            for worker in self.workers.values()
            for e in worker.journal
            if e.event != "dropped"
        ]
        return events + self.loss_events

    def _append(self, record: Record) -> None:
        if self.log_down:
            self.pending.append(record)
        else:
            self._fold(record)

    def _fold(self, record: Record) -> None:
        offset = self.state.next_offset
        at_ms = int(self.now_s * 1000)
        fold_batch(self.state, offset, Batch("w", offset + 1, at_ms, (record,)))

    def _step_owner(self, owner: Owner) -> None:
        # Commands decided before a freeze are sent after it.
        self._send_outbox(owner)
        tenure = owner.tenure
        if not tenure.is_trying:
            if self.now_s < owner.next_try_s or not self._is_candidate(owner):
                return
            tenure.begin(self.now_s)
        if self.now_s - owner.renewed_s >= TERMS.renew_s:
            owner.renewed_s = self.now_s
            for name in self.listed:
                self._renew(owner, name)
        tenure.update(self.now_s)
        if owner.scheduler is None and tenure.has_majority:
            self._start_scheduler(owner)
        lost = owner.scheduler is not None and not tenure.has_majority
        superseded = owner.scheduler is None and not self._is_candidate(owner)
        if lost or superseded or tenure.must_yield(self.now_s):
            owner.scheduler = None
            owner.outbox.clear()
            tenure.end()
            pause_s = TERMS.renew_s * (1 + self.owners.index(owner))
            owner.next_try_s = self.now_s + pause_s
        if owner.scheduler is not None:
            self._schedule(owner)

    def _is_candidate(self, owner: Owner) -> bool:
        live = [other for other in self.owners if not other.frozen]
        owned = any(o.scheduler is not None for o in live if o is not owner)
        return not owned and live[0] is owner

    def _renew(self, owner: Owner, name: str) -> None:
        tenure = owner.tenure
        task_term_s = tenure.get_task_term(name, self.now_s)
        tenure.note_sent(name, self.now_s, task_term_s)
        if name in self.dead_workers or (owner.name, name) in self.cut_links:
            tenure.note_silence(name)
            return
        request = LeaseRequest(
            owner.name, tenure.get_epoch(name), TERMS.term_s, task_term_s
        )
        reply = self.workers[name].lease(request, self.now_s)
        if name in self.lose_replies:
            tenure.note_silence(name)
            return
        tenure.note_reply(name, self.now_s, reply)
        if reply.granted and owner.scheduler is not None:
            effects = owner.scheduler.note_report(name, reply.tasks)
            self._apply_effects(owner, effects)

    def _start_scheduler(self, owner: Owner) -> None:
        owner.scheduler = self.make_scheduler(HALL, self.policy)
        match_workers(owner.scheduler, owner.tenure, self.listed, self.now_s)
        self._sync_jobs(owner, recovering=True)

    def _schedule(self, owner: Owner) -> None:
        scheduler, tenure = owner.scheduler, owner.tenure
        match_workers(scheduler, tenure, self.listed, self.now_s)
        self._sync_jobs(owner, recovering=False)
        effects = recover_jobs(scheduler, tenure, not self.log_down, self.now_s)
        self._apply_effects(owner, effects)
        self._apply_effects(owner, scheduler.decide(self.now_s))

    def _sync_jobs(self, owner: Owner, recovering: bool) -> None:
        scheduler = owner.scheduler
        scheduler.set_customers(self.state.customers)
        for job_id, entry in self.state.jobs.items():
            if entry.state is JobState.ENDED:
                if job_id in scheduler.jobs:
                    self._apply_effects(owner, scheduler.note_ended(job_id))
                continue
            if entry.hall != HALL:
                continue
            if job_id not in scheduler.jobs:
                scheduler.add_job(
                    entry.spec,
                    entry.attempt,
                    self.now_s,
                    recovering,
                    entry.failures,
                    entry.early_losses,
                )
            if entry.state is JobState.PLACED:
                scheduler.note_placed(job_id, entry.attempt, entry.workers)
            if entry.cancelled:
                self._apply_effects(owner, scheduler.cancel_job(job_id, self.now_s))

    def _apply_effects(self, owner: Owner, effects) -> None:
        for effect in effects:
            match effect:
                case Send(worker, command):
                    owner.outbox.append((worker, command))
                case Append(record):
                    self._append(record)

    def _send_outbox(self, owner: Owner) -> None:
        outbox, owner.outbox = owner.outbox, []
        for name, command in outbox:
            done = self._send_command(owner, name, command)
            if owner.scheduler is not None:
                owner.scheduler.note_command(command, done)

    def _send_command(
        self, owner: Owner, name: str, command: TaskCommand
    ) -> bool | None:
        tenure = owner.tenure
        unreachable = name in self.dead_workers or (owner.name, name) in self.cut_links
        if name not in self.listed or unreachable:
            return None
        request = CommandRequest(owner.name, tenure.get_epoch(name), (command,))
        reply = self.workers[name].command(request, self.now_s)
        if name in self.lose_replies:
            return None
        return not reply.fenced and reply.done[0]
