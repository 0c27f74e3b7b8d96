"""Drive the scheduler against simulated workers on a passed clock.

Calls are lost, delayed and carried out late; owners are replaced at any step,
with rounds that never reached the log; workers fall silent, die and leave.
"""

import random
from dataclasses import dataclass, field

from returns.result import Failure, Success

from larkhoist.codes import Code
from larkhoist.control.round_records import encode_round
from larkhoist.fleet.effects import Round, StartTask, StopTask
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.scheduler import FleetScheduler, create_fleet_scheduler
from larkhoist.jobs.book import JobBook
from larkhoist.jobs.records import (
    JobAccepted,
    JobCancelRequested,
    JobRecord,
    encode_job_record,
    make_phase_drop,
)
from larkhoist.jobs.spec import StagedJob
from larkhoist.ports.keyed_log import KeyedRecord, StoredRecord
from larkhoist.ports.task_worker import LeaseCall, StartOrder, StopOrder
from tests.fleet.sim_worker import LEASE_S, SimWorker, SimWorld, make_listed

__all__ = ["FleetMachine"]

STEP_S = 0.1
ASK_S = 0.5
START_MS = 1_700_000_000_000


@dataclass(slots=True)
class _Owner:
    """Hold what an owner's sessions know of workers, besides its scheduler."""

    term: int
    scheduler: FleetScheduler
    silent: set[str] = field(default_factory=set)
    asked_s: dict[str, float] = field(default_factory=dict)
    acknowledged: dict[str, int] = field(default_factory=dict)
    uncommitted: list[Round] = field(default_factory=list)


@dataclass(slots=True)
class _LateOrder:
    """Hold an order without an answer that acts at ``due_s``."""

    due_s: float
    worker: str
    order: StartOrder | StopOrder | LeaseCall


class FleetMachine:
    """Hold the world, the log and the owner; ``step`` lets time pass."""

    def __init__(self, world: SimWorld, guarantees: dict[str, int], seed: int = 0):
        self.world = world
        self.guarantees = guarantees
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.book = JobBook()
        self.progress: dict[str, StoredRecord] = {}
        self.jobs: dict[str, StagedJob] = {}
        self.offset = 0
        self.cancelled_s: dict[str, float] = {}
        self.cut: set[str] = set()
        self.lose_answers = 0.0
        self.log_down = False
        self.late: list[_LateOrder] = []
        self.term = 0
        self.owner: _Owner | None = None
        self.replace_owner()

    @property
    def now_ms(self) -> int:
        """Return the time of day."""
        return START_MS + int(self.now_s * 1000)

    # What happens to the system.

    def submit(self, job: StagedJob) -> None:
        """Accept a job."""
        self.jobs[job.job_id] = job
        self._append(JobAccepted(job))
        entry = self.book.get(job.job_id)
        if entry.outcome is None:
            self.owner.scheduler.add_job(entry, self.now_s, self.now_ms)

    def cancel(self, job_id: str) -> None:
        """Accept a cancellation."""
        self._append(JobCancelRequested(job_id))
        self.cancelled_s.setdefault(job_id, self.now_s)
        self.owner.scheduler.cancel_job(job_id, self.now_s, self.now_ms)

    def replace_owner(self) -> None:
        """Let another instance take over from what the log holds.

        Of the round that was under way, one stream may have got its part alone.
        """
        if self.owner is not None and self.owner.uncommitted:
            decided = self.owner.uncommitted[0]
            records = encode_round(decided)
            match self.random.randrange(3):
                case 0:
                    self._keep_jobs(records.jobs)
                case 1:
                    self._keep_progress(records.progress)
        self.term += 1
        policy = FleetPolicy(lease_s=LEASE_S, predecessor_s=1.0)
        scheduler = create_fleet_scheduler(policy, self.now_s)
        scheduler.set_guarantees(self.guarantees)
        scheduler.take_list(self._list_workers(), self.now_s)
        left_over = self.book.take_progress(self.progress.values())
        self._keep_progress(tuple(make_phase_drop(phase) for phase in left_over))
        scheduler.take_book(self.book, self.now_s, self.now_ms)
        self.owner = _Owner(self.term, scheduler)

    def step(self) -> None:
        """Let a tenth of a second pass."""
        self.now_s += STEP_S
        self._carry_out_late()
        self.world.advance(self.now_s)
        owner = self.owner
        owner.scheduler.take_list(self._list_workers(), self.now_s)
        self._ask_workers(owner)
        if not self.log_down:
            rounds, owner.uncommitted = owner.uncommitted, []
            for decided in rounds:
                self._commit(owner, decided)
            decided = owner.scheduler.decide(self.now_s, self.now_ms)
            for stop in decided.stops:
                self._send_stop(owner, stop)
            for name in decided.probes:
                if name in self.world.workers:
                    self._ask_worker(owner, self.world.workers[name])
            # A round reaches the log a step later, or never.
            owner.uncommitted.append(decided)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(int(seconds / STEP_S)):
            self.step()

    # Calls to workers.

    def _ask_workers(self, owner: _Owner) -> None:
        for worker in self.world.workers.values():
            known = owner.scheduler.state.workers.get(worker.name)
            if known is None or not known.service:
                continue
            asked_s = owner.asked_s.get(worker.name, float("-inf"))
            busy = owner.scheduler.is_busy(worker.name)
            busy = busy or worker.name in owner.silent
            if asked_s + ASK_S > self.now_s or not busy and asked_s > 0:
                continue
            owner.asked_s[worker.name] = self.now_s
            self._ask_worker(owner, worker)

    def _ask_worker(self, owner: _Owner, worker: SimWorker) -> None:
        lease_until_ms = None
        if worker.name not in owner.silent:
            lease_s = owner.scheduler.grant_lease(worker.name, self.now_s)
            lease_until_ms = self._get_lease_until_ms(worker, lease_s)
        acknowledged = owner.acknowledged.get(worker.name, 0)
        call = LeaseCall(owner.term, acknowledged, lease_until_ms)
        answer = self._call(worker, call)
        if answer is None:
            owner.silent.add(worker.name)
            owner.scheduler.note_silent(worker.name, self.now_s)
            return
        match answer:
            case Success(report):
                owner.silent.discard(worker.name)
                owner.scheduler.note_heard(worker.name, self.now_s)
                owner.scheduler.take_report(
                    worker.name, report, self.now_s, self.now_s + 0.01, self.now_ms
                )
            case Failure(problem):
                raise AssertionError(f"the newest owner was refused: {problem}")

    def _commit(self, owner: _Owner, decided: Round) -> None:
        records = encode_round(decided)
        self._keep_jobs(records.jobs)
        self._keep_progress((*records.progress, *records.dropped))
        for name, number in decided.seen.items():
            owner.acknowledged[name] = max(owner.acknowledged.get(name, 0), number)
        for start in decided.starts:
            if owner.scheduler.is_wanted(start.task, start.attempt):
                self._send_start(owner, start)
            else:
                owner.scheduler.note_never_sent(start.task, start.attempt, self.now_s)

    def _send_start(self, owner: _Owner, start: StartTask) -> None:
        worker = self.world.workers[start.worker]
        lease_s = owner.scheduler.grant_lease(worker.name, self.now_s)
        order = StartOrder(
            start.task,
            start.attempt,
            start.payload,
            self._get_lease_until_ms(worker, lease_s),
            owner.term,
            start.checkpoint,
        )
        # As a session does: an order without an answer is sent once more.
        answer, may_act = self._call(worker, order), False
        if answer is None:
            answer, may_act = self._call(worker, order), True
        code = Code.WORKER_SILENT
        if answer is not None:
            code = None if isinstance(answer, Success) else answer.failure().code
        owner.scheduler.take_start_answer(
            start.task, start.attempt, code, may_act, self.now_s
        )

    def _send_stop(self, owner: _Owner, stop: StopTask) -> None:
        worker = self.world.workers.get(stop.worker)
        if worker is None:
            return
        order = StopOrder(stop.task, stop.attempt, owner.term)
        if self._call(worker, order) is not None:
            owner.scheduler.take_stop_answer(stop.task, stop.attempt, self.now_s)

    def _call(self, worker: SimWorker, order):
        """Return the answer, None where none comes; the order may act later."""
        if worker.dead or worker.name in self.cut:
            return None
        if self.random.random() < self.lose_answers:
            due_s = self.now_s + self.random.choice((0.0, 0.3, 2.0, 6.0))
            self.late.append(_LateOrder(due_s, worker.name, order))
            return None
        return self._carry_out(worker, order)

    def _carry_out(self, worker: SimWorker, order):
        match order:
            case StartOrder():
                return self.world.start(worker, order, self.now_s)
            case StopOrder():
                return self.world.stop(worker, order, self.now_s)
            case LeaseCall():
                return self.world.renew(worker, order, self.now_s)

    def _carry_out_late(self) -> None:
        due = [late for late in self.late if late.due_s <= self.now_s]
        self.late = [late for late in self.late if late.due_s > self.now_s]
        for late in due:
            worker = self.world.workers[late.worker]
            if not worker.dead:
                self._carry_out(worker, late.order)

    def _get_lease_until_ms(
        self, worker: SimWorker, lease_s: float | None
    ) -> int | None:
        if lease_s is None:
            return None
        return worker.get_clock_ms(self.now_s) + int(lease_s * 1000)

    def _list_workers(self):
        return [
            make_listed(worker, self.now_s)
            for worker in self.world.workers.values()
            if worker.listed
        ]

    def _append(self, record: JobRecord) -> None:
        self._keep_jobs((encode_job_record(record),))

    def _keep_jobs(self, records: tuple[KeyedRecord, ...]) -> None:
        for kept in records:
            self.book.apply(StoredRecord(self.offset, kept.key, kept.value))
            self.offset += 1

    def _keep_progress(self, records: tuple[KeyedRecord, ...]) -> None:
        for kept in records:
            self.progress.pop(kept.key, None)
            if kept.value:
                self.progress[kept.key] = StoredRecord(0, kept.key, kept.value)
