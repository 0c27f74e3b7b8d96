"""Drive the scheduler against simulated workers on a simulated clock.

Calls are lost, delayed, refused or executed late, and answers arrive out of order.
Owners are replaced at any step; their last rounds may have reached both log streams,
only one or none. Workers stop answering, leave, crash and restart at the same address,
and the list of workers is read with a delay. The sessions and steps reproduce those of
``WorkerSession`` and ``FleetOwner``.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.control.round_records import encode_round
from larkhoist.control.worker_clock import WorkerClock
from larkhoist.control.worker_session import (
    Message,
    ReportAnswer,
    SessionTimes,
    StartAnswer,
    StartDropped,
    StopAnswer,
)
from larkhoist.fleet.effects import Note, Round, StartTask, StopTask
from larkhoist.fleet.incarnation import Incarnation, IncarnationOrder
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.scheduler import FleetScheduler, create_fleet_scheduler
from larkhoist.fleet.silent_leases import LeaseNote
from larkhoist.jobs.records import (
    BlockProgress,
    JobAccepted,
    JobCancelRequested,
    JobRecord,
    encode_job_record,
    make_progress_drop,
)
from larkhoist.jobs.registry import JobRegistry
from larkhoist.jobs.spec import StagedJob
from larkhoist.ports.fleet import ListedTaskWorker
from larkhoist.ports.keyed_log import KeyedRecord, StoredRecord
from larkhoist.ports.task_worker import LeaseCall, StartOrder, StopOrder
from larkhoist.problem import Problem
from tests.fleet.sim_worker import (
    START_MS,
    TOKENS_PER_TERM,
    SimWorker,
    SimWorld,
    make_listed,
)

__all__ = ["ORDER_DELAYS_S", "FleetMachine"]

STEP_S = 0.1
REPORT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.7
"""Time without an answer after which a call fails, as in the worker's client."""
SILENT_RETRY_S = 0.4
START_TRIES = 2
START_RETRY_S = 0.1
LOG_STALL_LIMIT_S = 1.0
PREDECESSOR_S = 1.0
"""Time for which a replaced owner may still renew leases."""
UNANSWERED = (Code.WORKER_SILENT, Code.WORKER_UNREACHABLE)
TOKEN_INTERVAL_S = 0.3
"""Interval at which an owner's token increases."""
BLOCK_KEY_DOTS = 3
"""Number of dots in the key of a block record; that of a whole step has two."""
ORDER_DELAYS_S = (0.0, 0.3, 2.0, 6.0, 12.0)
"""Delays after which an order without an answer may still be executed."""

Order = StartOrder | StopOrder | LeaseCall


@dataclass(slots=True)
class _Session:
    """State of an owner's session with one worker, as in ``WorkerSession``."""

    worker: str
    address: str
    clock: WorkerClock
    busy: bool = True
    silent: bool = False
    report_due: bool = True
    awaiting_report: bool = False
    next_report_s: float = float("-inf")
    acknowledged: int = 0
    sent_acknowledgement: int = 0
    to_acknowledge: int = 0
    closed: bool = False
    token: int = 0
    needs_higher_token: bool = False
    incarnation: Incarnation = field(default_factory=Incarnation)

    def update_incarnation(self, started_ms: int) -> None:
        """Apply a start time from the list of workers."""
        match self.incarnation.compare(started_ms):
            case IncarnationOrder.LATER:
                self.begin_incarnation(started_ms, float("-inf"))
            case IncarnationOrder.SAME if not self.incarnation.started_ms:
                self.incarnation.started_ms = started_ms

    def begin_incarnation(self, started_ms: int, now_s: float) -> None:
        """Discard the clock and the end numbers of the previous incarnation."""
        self.incarnation = Incarnation(started_ms, now_s)
        self.clock = WorkerClock()
        self.acknowledged = self.to_acknowledge = 0
        self.needs_higher_token = self.report_due = True


@dataclass(slots=True)
class _Owner:
    """An owner with its scheduler, sessions, inbox and uncommitted rounds.

    ``left_over`` removes progress of jobs that a former owner ended.
    """

    term: int
    scheduler: FleetScheduler
    sessions: dict[str, _Session] = field(default_factory=dict)
    inbox: list[Message] = field(default_factory=list)
    uncommitted: list[Round] = field(default_factory=list)
    left_over: tuple[KeyedRecord, ...] = ()
    log_stalled_since_s: float | None = None
    renews_until_s: float = float("inf")
    fenced: bool = False


@dataclass(slots=True)
class _LateOrder:
    """An order that gets no answer and is executed at ``due_s``.

    ``sent_to`` is the incarnation that was up at the address when the order was sent.
    """

    due_s: float
    worker: str
    order: Order
    late: bool
    sent_to: SimWorker | None


@dataclass(frozen=True, slots=True)
class _ReportCall:
    """A report call of the session's own loop, which may renew the lease."""

    asked_s: float


@dataclass(frozen=True, slots=True)
class _ProbeCall:
    """A report call made outside the session's own loop."""

    asked_s: float


@dataclass(frozen=True, slots=True)
class _StartCall:
    """A try of a start.

    ``may_have_started`` is True if an earlier try got no answer and may still take
    effect.
    """

    start: StartTask
    tries_left: int
    may_have_started: bool


@dataclass(frozen=True, slots=True)
class _StopCall:
    """A stop whose answer is outstanding."""

    stop: StopTask


_CallKind = _ReportCall | _ProbeCall | _StartCall | _StopCall


@dataclass(slots=True)
class _Answer:
    """An answer that reaches its session at ``due_s``."""

    due_s: float
    owner: _Owner
    session: _Session
    call_kind: _CallKind
    result: Result
    token: int


@dataclass(slots=True)
class _Retry:
    """A try of a start that is sent at ``due_s``."""

    due_s: float
    owner: _Owner
    session: _Session
    start: StartTask
    tries: int
    may_have_started: bool
    token: int | None = None


@dataclass(frozen=True, slots=True)
class TimedNote:
    """A note of an owner's decision with its time, to diagnose failed checks."""

    at_s: float
    term: int
    note: Note


class FleetMachine:
    """A simulation of workers, log and owner; ``step`` advances its time.

    Workers at an address in ``lost_answers`` carry out all calls, but their answers are
    lost. If ``calls_wait`` is set, a worker lists the end of a task at once, as it does
    in the answer to a call that waits for an end. While ``owner_is_away``, no owner
    makes calls or decides, as between two owners.

    ``blocks`` tells, for each owner in turn, whether it writes progress in blocks. If
    any does, an owner may also stop after some of the records of a round, which may
    have been split into several appends. ``block_records`` counts the block records,
    and ``cut_rounds`` the rounds of which the log got some.
    """

    def __init__(
        self,
        world: SimWorld,
        guarantees: dict[str, int],
        seed: int = 0,
        cut_off_renewal_s: float = PREDECESSOR_S,
        blocks: tuple[bool, ...] = (False,),
    ):
        self.world = world
        self.blocks = blocks
        self.block_records = 0
        self.cut_rounds = 0
        self.cut_off_renewal_s = cut_off_renewal_s
        self.guarantees = guarantees
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.registry = JobRegistry()
        self.progress: dict[str, StoredRecord] = {}
        self.jobs: dict[str, StagedJob] = {}
        self.offset = 0
        self.progress_offset = 0
        self.cancelled_s: dict[str, float] = {}
        self.cut: set[str] = set()
        self.lost_answers: set[str] = set()
        self.calls_wait = False
        self.owner_is_away = False
        self.lost_answer_share = 0.0
        self.slow_answer_share = 0.0
        self.order_delay_s: dict[str, float] = {}
        self.log_down = False
        self.list_lag_s = 0.0
        self.cordoned: frozenset[str] = frozenset()
        self._read_cordoned: frozenset[str] = frozenset()
        self.late: list[_LateOrder] = []
        self.notes: list[TimedNote] = []
        self.last_unreachable_s: dict[str, float] = {}
        self._list_history: deque[tuple[float, list[ListedTaskWorker]]] = deque()
        self._read_list: list[ListedTaskWorker] = []
        self._list_read_s = self.now_s
        self._answers: list[_Answer] = []
        self._retries: list[_Retry] = []
        self._former_owners: list[_Owner] = []
        self.term = 0
        self.term_began_s: dict[int, float] = {}
        self.owner: _Owner | None = None
        self._read_workers()
        self.replace_owner()

    @property
    def now_ms(self) -> int:
        """Return the simulated time in Unix milliseconds."""
        return START_MS + int(self.now_s * 1000)

    # Events from outside: jobs, cancellations and a change of owner.

    def submit(self, job: StagedJob) -> None:
        """Accept a job."""
        self.jobs[job.job_id] = job
        self._append(JobAccepted(job))
        entry = self.registry.get(job.job_id)
        if entry.outcome is None:
            self.owner.scheduler.add_job(entry, self.now_s, self.now_ms)

    def cancel(self, job_id: str) -> None:
        """Accept a cancellation."""
        self._append(JobCancelRequested(job_id))
        self.cancelled_s.setdefault(job_id, self.now_s)
        self.owner.scheduler.cancel_job(job_id, self.now_s, self.now_ms)

    def replace_owner(self) -> None:
        """Have another instance take over from what the log holds.

        Each stream may have received some of the uncommitted rounds. The former owner
        renews leases for ``cut_off_renewal_s`` more.
        """
        if self.owner is not None:
            self._store_progress(self._cut(self.owner.left_over))
            self._store_some_rounds(self.owner.uncommitted)
            self.owner.uncommitted = []
            self.owner.renews_until_s = self.now_s + self.cut_off_renewal_s
            self._former_owners.append(self.owner)
        self.term += 1
        self.term_began_s[self.term] = self.now_s
        policy = FleetPolicy(
            lease_s=self.world.lease_s,
            cut_off_renewal_s=self.cut_off_renewal_s,
            progress_blocks=self.blocks[self.term % len(self.blocks)],
        )
        scheduler = create_fleet_scheduler(policy, self.now_s)
        scheduler.set_guarantees(self.guarantees)
        scheduler.set_cordoned_halls(self._read_cordoned)
        scheduler.update_workers(self._read_list, self.now_s)
        left_over = self.registry.replace_progress(self.progress.values())
        drops = tuple(make_progress_drop(part) for part in left_over)
        if not any(self.blocks):
            self._store_progress(drops)
        scheduler.load_jobs(self.registry, self.now_s, self.now_ms)
        self.owner = _Owner(self.term, scheduler)
        if any(self.blocks):
            self.owner.left_over = drops

    def read_list(self) -> None:
        """Read the list of workers at once, before the owner's next step."""
        self._read_workers()

    def step(self) -> None:
        """Advance time by ``STEP_S``."""
        self.now_s += STEP_S
        self._execute_late_orders()
        self.world.advance(self.now_s)
        self._record_unreachable()
        self._read_workers()
        self._deliver_answers()
        self._former_owners = [
            former
            for former in self._former_owners
            if former.renews_until_s > self.now_s
        ]
        if self.owner_is_away:
            return
        for owner in (*self._former_owners, self.owner):
            self._request_due_reports(owner)
        self._step_owner(self.owner)

    def skip_idle_time(self, seconds: float) -> None:
        """Advance time at once, without calls; no task may be running."""
        assert not any(worker.runs for worker in self.world.workers.values())
        self.now_s += seconds

    def run(self, seconds: float) -> None:
        """Advance time step by step."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    # The owner's step: the list, then the inbox, then decisions.

    def _step_owner(self, owner: _Owner) -> None:
        scheduler = owner.scheduler
        scheduler.update_workers(self._read_list, self.now_s)
        scheduler.set_cordoned_halls(self._read_cordoned)
        self._match_sessions(owner)
        inbox, owner.inbox = owner.inbox, []
        for message in inbox:
            self._handle_message(owner, message)
        self._commit_rounds(owner)
        since_s = owner.log_stalled_since_s
        if since_s is not None and since_s < self.now_s - LOG_STALL_LIMIT_S:
            return
        decided = scheduler.decide(self.now_s, self.now_ms)
        self._execute_round(owner, decided)
        self._update_sessions(owner)

    def _match_sessions(self, owner: _Owner) -> None:
        for entry in self._read_list:
            found = owner.sessions.get(entry.name)
            if found is not None:
                found.update_incarnation(entry.started_ms)
                continue
            clock = WorkerClock(entry.clock_ms, self._list_read_s)
            session = _Session(entry.name, entry.address, clock)
            session.incarnation = Incarnation(entry.started_ms, self._list_read_s)
            self._open_session(owner, session)
        for worker in owner.scheduler.list_unlisted():
            if worker.name not in owner.sessions:
                session = _Session(worker.name, worker.address, WorkerClock())
                self._open_session(owner, session)

    def _open_session(self, owner: _Owner, session: _Session) -> None:
        session.token = self._get_token(owner)
        owner.sessions[session.worker] = session

    def _get_token(self, owner: _Owner) -> int:
        """Return the owner's token; it increases while the owner holds the tenure."""
        until_s = min(self.now_s, owner.renews_until_s - self.cut_off_renewal_s)
        renewals = int((until_s - self.term_began_s[owner.term]) / TOKEN_INTERVAL_S)
        return owner.term * TOKENS_PER_TERM + min(renewals, TOKENS_PER_TERM - 1)

    def _refresh_token(self, owner: _Owner, session: _Session) -> bool:
        if session.needs_higher_token:
            token = self._get_token(owner)
            session.needs_higher_token = token <= session.token
            session.token = max(token, session.token)
        return not session.needs_higher_token

    def _update_sessions(self, owner: _Owner) -> None:
        workers = owner.scheduler.state.workers
        for name, session in list(owner.sessions.items()):
            if name in workers:
                session.busy = owner.scheduler.is_busy(name)
                session.report_due = session.report_due or session.busy
            else:
                # Orders under way may still be executed; their answers are dropped.
                session.closed = True
                del owner.sessions[name]

    def _handle_message(self, owner: _Owner, message: Message) -> None:
        scheduler = owner.scheduler
        if message.worker not in scheduler.state.workers:
            return
        match message:
            case ReportAnswer(worker, asked_s, Success(report)):
                scheduler.note_heard(worker, asked_s)
                scheduler.handle_report(
                    worker, report, asked_s, self.now_s, self.now_ms
                )
            case ReportAnswer(worker, _, Failure(problem)):
                if problem.code is Code.ORDER_REFUSED:
                    scheduler.note_refused(worker)
                self._handle_failed_call(owner, worker, problem.code)
            case StartDropped(_, task, attempt):
                scheduler.note_never_sent(task, attempt, self.now_s)
            case StartAnswer(worker, task, attempt, code, may_have_started):
                scheduler.handle_start_answer(
                    task, attempt, code, may_have_started, self.now_s
                )
                if code is not None:
                    self._handle_failed_call(owner, worker, code)
            case StopAnswer(_, task, attempt, None):
                scheduler.handle_stop_answer(task, attempt, self.now_s)
            case StopAnswer(worker, _, _, code):
                self._handle_failed_call(owner, worker, code)

    def _handle_failed_call(self, owner: _Owner, worker: str, code: Code) -> None:
        match code:
            case Code.FENCED:
                raise AssertionError("the current owner was fenced")
            case Code.WORKER_REPLACED:
                owner.scheduler.note_replaced(worker, self.now_s)
            case Code.WORKER_SILENT | Code.WORKER_UNREACHABLE:
                owner.scheduler.note_silent(worker, self.now_s)

    def _execute_round(self, owner: _Owner, decided: Round) -> None:
        for note in decided.notes:
            self.notes.append(TimedNote(self.now_s, owner.term, note))
        for stop in decided.stops:
            session = owner.sessions.get(stop.worker)
            if session is not None:
                self._refresh_token(owner, session)
                order = StopOrder(stop.task, stop.attempt, session.token)
                self._call(owner, session, _StopCall(stop), order)
        for name in decided.probes:
            session = owner.sessions.get(name)
            if session is not None and self._refresh_token(owner, session):
                call = LeaseCall(session.token, 0)
                self._call(owner, session, _ProbeCall(self.now_s), call)
        # A round reaches the log one step later, or never.
        owner.uncommitted.append(decided)

    def _commit_rounds(self, owner: _Owner) -> None:
        if self.log_down:
            if owner.uncommitted and owner.log_stalled_since_s is None:
                owner.log_stalled_since_s = self.now_s
            return
        owner.log_stalled_since_s = None
        self._store_progress(owner.left_over)
        owner.left_over = ()
        rounds, owner.uncommitted = owner.uncommitted, []
        for decided in rounds:
            self._commit(owner, decided)

    def _commit(self, owner: _Owner, decided: Round) -> None:
        records = encode_round(decided)
        self._store_jobs(records.jobs)
        self._store_progress((*records.progress, *records.dropped))
        if decided.leases is not None:
            self._renew_noted_leases(owner, decided.leases)
        for name, seen in decided.seen.items():
            session = owner.sessions.get(name)
            if session is None or seen.started_ms != session.incarnation.started_ms:
                continue
            if seen.number > session.to_acknowledge:
                session.to_acknowledge = seen.number
                session.report_due = True
        for start in decided.starts:
            session = owner.sessions.get(start.worker)
            wanted = owner.scheduler.is_wanted(start.task, start.attempt)
            if session is None or not wanted:
                owner.scheduler.note_never_sent(start.task, start.attempt, self.now_s)
                continue
            session.busy = session.report_due = True
            self._begin_start(owner, session, start)

    def _renew_noted_leases(self, owner: _Owner, note: LeaseNote) -> None:
        for name in owner.scheduler.take_lease_note(note):
            session = owner.sessions.get(name)
            if session is None or session.silent:
                continue
            if self._refresh_token(owner, session):
                lease_s = self._grant_lease(owner, session)
                until_ms = None
                if lease_s is not None:
                    until_ms = session.clock.get_lease_until_ms(self.now_s, lease_s)
                call = LeaseCall(session.token, 0, until_ms)
                self._call(owner, session, _ProbeCall(self.now_s), call)

    # Sessions.

    def _request_due_reports(self, owner: _Owner) -> None:
        for session in owner.sessions.values():
            due = session.report_due and not session.awaiting_report
            is_time = self.now_s >= session.next_report_s
            if due and (is_time or self._answers_waiting_call(session)):
                self._request_report(owner, session)

    def _answers_waiting_call(self, session: _Session) -> bool:
        # The session has no waiting call open while its worker is silent.
        worker = self.world.find_at(session.address)
        is_open = self.calls_wait and not session.silent and worker is not None
        return is_open and self.world.has_unlisted_ends(worker)

    def _request_report(self, owner: _Owner, session: _Session) -> None:
        if not self._refresh_token(owner, session):
            return
        lease_s = None if session.silent else self._grant_lease(owner, session)
        lease_until_ms = None
        if lease_s is not None:
            lease_until_ms = session.clock.get_lease_until_ms(self.now_s, lease_s)
        session.awaiting_report = True
        session.next_report_s = self.now_s + (
            REPORT_INTERVAL_S if session.busy else 0.0
        )
        is_pending = session.to_acknowledge > session.acknowledged
        number = session.to_acknowledge if is_pending and not session.silent else 0
        session.sent_acknowledgement = max(number, session.acknowledged)
        started_ms = session.incarnation.started_ms if number else 0
        call = LeaseCall(session.token, number, lease_until_ms, started_ms=started_ms)
        self._call(owner, session, _ReportCall(self.now_s), call)

    def _grant_lease(self, owner: _Owner, session: _Session) -> float | None:
        if owner.fenced or self.now_s >= owner.renews_until_s:
            return None
        return owner.scheduler.grant_lease(session.worker, self.now_s)

    def _begin_start(self, owner: _Owner, session: _Session, start) -> None:
        """Send a start, after a report call if the worker's clock reading is old."""
        if session.clock.get_age_s(self.now_s) > SessionTimes().clock_age_s:
            if self._refresh_token(owner, session):
                call = LeaseCall(session.token, 0)
                self._call(owner, session, _ProbeCall(self.now_s), call)
            if session.clock.heard_s < self.now_s:
                # No answer yet: the start waits until the call has timed out.
                due_s = self.now_s + CALL_TIMEOUT_S
                retry = _Retry(due_s, owner, session, start, START_TRIES, False)
                self._retries.append(retry)
                return
        self._send_start(owner, session, start, START_TRIES, may_have_started=False)

    def _send_start(
        self,
        owner: _Owner,
        session: _Session,
        start: StartTask,
        tries: int,
        *,
        may_have_started: bool,
        token: int | None = None,
    ) -> None:
        wanted = owner.scheduler.is_wanted(start.task, start.attempt)
        wanted = wanted and self._refresh_token(owner, session)
        wanted = wanted and token in (None, session.token)
        wanted = wanted and not session.incarnation.is_other(start.started_ms)
        lease_s = self._grant_lease(owner, session) if wanted else None
        if not session.clock.is_known:
            lease_s = None
        if lease_s is None and may_have_started:
            code = Code.WORKER_SILENT
            session.report_due = True
            self._report_start_answer(
                owner, session, start, code, may_have_started=True
            )
            return
        if lease_s is None:
            dropped = StartDropped(session.worker, start.task, start.attempt)
            owner.inbox.append(dropped)
            return
        order = StartOrder(
            start.task,
            start.attempt,
            start.payload,
            session.clock.get_lease_until_ms(self.now_s, lease_s),
            session.token,
            start.checkpoint,
            session.incarnation.started_ms,
        )
        self._call(
            owner, session, _StartCall(start, tries - 1, may_have_started), order
        )

    def _report_start_answer(
        self, owner, session, start, code, *, may_have_started: bool
    ) -> None:
        owner.inbox.append(
            StartAnswer(
                session.worker, start.task, start.attempt, code, may_have_started
            )
        )

    def _deliver_answers(self) -> None:
        """Deliver answers and retries that are due.

        Answers due in one step are shuffled where answers are delayed.
        """
        due = [answer for answer in self._answers if answer.due_s <= self.now_s]
        self._answers = [a for a in self._answers if a.due_s > self.now_s]
        if self.slow_answer_share:
            self.random.shuffle(due)
        for answer in due:
            if not answer.session.closed:
                self._deliver_answer(answer)
        retries = [retry for retry in self._retries if retry.due_s <= self.now_s]
        self._retries = [r for r in self._retries if r.due_s > self.now_s]
        for retry in retries:
            if not retry.session.closed:
                self._send_start(
                    retry.owner,
                    retry.session,
                    retry.start,
                    retry.tries,
                    may_have_started=retry.may_have_started,
                    token=retry.token,
                )

    def _deliver_answer(self, answer: _Answer) -> None:
        owner, session, result = answer.owner, answer.session, answer.result
        is_outdated = answer.token < session.token
        if isinstance(result, Failure) and result.failure().code is Code.FENCED:
            if not is_outdated:
                assert owner is not self.owner, "the current owner was fenced"
                owner.fenced = True
                return
            result = Failure(Problem(Code.ORDER_TOO_LATE))
        match answer.call_kind:
            case _ReportCall(asked_s):
                session.awaiting_report = False
                if not self._check_incarnation(session, result, asked_s):
                    return
                self._handle_report(session, result, answer.token)
                owner.inbox.append(ReportAnswer(session.worker, asked_s, result))
            case _ProbeCall(asked_s):
                if not self._check_incarnation(session, result, asked_s):
                    return
                self._update_clock_from_report(session, result)
                session.report_due = session.report_due or isinstance(result, Failure)
                owner.inbox.append(ReportAnswer(session.worker, asked_s, result))
            case _StartCall() as starting:
                self._handle_start_answer(
                    owner, session, starting, result, answer.token
                )
            case _StopCall(stop):
                code = self._update_clock(session, result, answer.token)
                session.report_due = session.report_due or code in UNANSWERED
                owner.inbox.append(
                    StopAnswer(session.worker, stop.task, stop.attempt, code)
                )

    def _check_incarnation(
        self, session: _Session, result: Result, asked_s: float
    ) -> bool:
        """Apply a report's start time; return False if the answer is outdated."""
        match result:
            case Success(report):
                match session.incarnation.compare(report.started_ms, asked_s):
                    case IncarnationOrder.FORMER:
                        return False
                    case IncarnationOrder.LATER:
                        session.begin_incarnation(report.started_ms, self.now_s)
                session.incarnation.record_answer(report.started_ms, self.now_s)
                return True
            case Failure(problem):
                return problem.code is not Code.ORDER_TOO_LATE

    def _handle_report(self, session: _Session, result: Result, token: int) -> None:
        match result:
            case Success(report):
                session.silent = False
                if token == session.token and not session.needs_higher_token:
                    session.acknowledged = session.sent_acknowledgement
                session.clock.take(report.clock_ms, self.now_s)
                # Ends that this call did not acknowledge need another call.
                session.report_due = (
                    session.busy or session.to_acknowledge > session.acknowledged
                )
            case Failure(_):
                session.silent = True
                session.next_report_s = self.now_s + SILENT_RETRY_S

    def _handle_start_answer(
        self, owner, session, starting: _StartCall, result, token
    ) -> None:
        code = self._update_clock(session, result, token)
        start, may_have_started = starting.start, starting.may_have_started
        if code in UNANSWERED:
            may_have_started = may_have_started or code is Code.WORKER_SILENT
            if starting.tries_left:
                due_s = self.now_s + START_RETRY_S
                retry = _Retry(
                    due_s, owner, session, start, 1, may_have_started, token=token
                )
                self._retries.append(retry)
                return
        session.report_due = session.report_due or code in UNANSWERED
        self._report_start_answer(
            owner, session, start, code, may_have_started=may_have_started
        )

    def _update_clock_from_report(self, session: _Session, result: Result) -> None:
        match result:
            case Success(report):
                session.clock.take(report.clock_ms, self.now_s)

    def _update_clock(
        self, session: _Session, result: Result, token: int
    ) -> Code | None:
        match result:
            case Success(_) if token != session.token or session.needs_higher_token:
                return None
            case Success(clock_ms):
                session.clock.take(clock_ms, self.now_s)
                return None
            case Failure(problem):
                return problem.code

    # Calls to workers.

    def _call(
        self, owner: _Owner, session: _Session, call_kind: _CallKind, order: Order
    ) -> None:
        """Send an order and schedule its answer, or a failure after the timeout.

        The order is executed now, late or never.
        """
        result = self._send_order(session, order)
        if result is None:
            due_s = self.now_s + CALL_TIMEOUT_S
            result = Failure(Problem(Code.WORKER_SILENT))
        else:
            due_s = self.now_s
            if self.random.random() < self.slow_answer_share:
                due_s += self.random.choice((0.1, 0.2, 0.4, 0.6))
        answer = _Answer(due_s, owner, session, call_kind, result, order.token)
        if due_s <= self.now_s:
            self._deliver_answer(answer)
        else:
            self._answers.append(answer)

    def _send_order(self, session: _Session, order: Order) -> Result | None:
        """Return the answer, or None if there is none; the order may act later."""
        if session.worker in self.cut or session.address in self.cut:
            return None
        delay_s = self.order_delay_s.get(session.address)
        if delay_s is None and self.random.random() < self.lost_answer_share:
            delay_s = self.random.choice(ORDER_DELAYS_S)
        if delay_s is not None:
            due_s = self.now_s + delay_s
            sent_to = self.world.find_at(session.address)
            sent = _make_first_order(order, sent_to)
            late = _LateOrder(due_s, session.worker, sent, delay_s > 0, sent_to)
            self.late.append(late)
            return None
        worker = self.world.find_at(session.address)
        if worker is None:
            return self._fail_to_connect(session)
        if worker.name != session.worker:
            return Failure(Problem(Code.WORKER_REPLACED))
        sent = _make_first_order(order, worker)
        result = self._execute_order(worker, sent, late=False)
        if session.address in self.lost_answers:
            return None
        match order, result:
            case StartOrder(), Success(_) if sent is not order:
                return Failure(Problem(Code.ORDER_TOO_LATE))
        return result

    def _fail_to_connect(self, session: _Session) -> Result | None:
        """Return the failure of a call to a worker that has ended.

        Return None, for no answer, while the connection still seems open.
        """
        ended_s = max(
            worker.dead_since_s
            for worker in self.world.workers.values()
            if worker.address == session.address
        )
        if self.now_s <= ended_s + STEP_S:
            return None
        return Failure(Problem(Code.WORKER_UNREACHABLE))

    def _execute_order(
        self,
        worker: SimWorker,
        order: Order,
        *,
        late: bool,
        sent_before_restart: bool = False,
    ):
        match order:
            case StartOrder():
                refusing = self.now_s < worker.refusing_until_s
                return self.world.start(
                    worker,
                    order,
                    self.now_s,
                    unhealthy=refusing and self.random.random() < worker.refused_share,
                    late=late,
                    sent_before_restart=sent_before_restart,
                )
            case StopOrder():
                return self.world.stop(worker, order, self.now_s)
            case LeaseCall():
                return self.world.renew(worker, order, self.now_s)

    def _execute_late_orders(self) -> None:
        due = [late for late in self.late if late.due_s <= self.now_s]
        self.late = [late for late in self.late if late.due_s > self.now_s]
        for late in due:
            worker = self.world.workers[late.worker]
            if not worker.dead:
                sent_before_restart = worker is not late.sent_to
                self._execute_order(
                    worker,
                    late.order,
                    late=late.late,
                    sent_before_restart=sent_before_restart,
                )

    # The list of workers.

    def _list_workers(self) -> list[ListedTaskWorker]:
        return [
            make_listed(worker, self.now_s)
            for worker in self.world.workers.values()
            if worker.listed
        ]

    def _read_workers(self) -> None:
        """Read the list as it was ``list_lag_s`` ago; nothing while the log is down.

        A later read never returns an older list.
        """
        self._list_history.append((self.now_s, self._list_workers()))
        if self.log_down:
            return
        self._read_cordoned = self.cordoned
        while (
            self._list_history
            and self._list_history[0][0] <= self.now_s - self.list_lag_s
        ):
            self._read_list = self._list_history.popleft()[1]
            self._list_read_s = self.now_s

    def _record_unreachable(self) -> None:
        """Record when each worker was last unreachable, for checks of time limits."""
        all_unreachable = self.log_down or self.lost_answer_share or self.list_lag_s
        late = {order.worker for order in self.late}
        for name, worker in self.world.workers.items():
            is_unreachable = name in self.cut or worker.address in self.cut
            is_unreachable = is_unreachable or worker.address in self.order_delay_s
            if all_unreachable or is_unreachable or name in late:
                self.last_unreachable_s[name] = self.now_s

    # The log.

    @property
    def has_uncommitted_blocks(self) -> bool:
        """Tell whether the owner's last round changes several blocks."""
        records = self.owner.uncommitted[-1].records if self.owner.uncommitted else []
        return sum(isinstance(record, BlockProgress) for record in records) > 1

    def _append(self, record: JobRecord) -> None:
        self._store_jobs((encode_job_record(record),))

    def _store_some_rounds(self, rounds: list[Round]) -> None:
        """Store a prefix of the rounds, of random length for each stream."""
        kept_jobs = self.random.randint(0, len(rounds))
        kept_progress = self.random.randint(0, len(rounds))
        for number, decided in enumerate(rounds):
            records = encode_round(decided)
            if number < kept_jobs:
                self._store_jobs(records.jobs)
            elif number == kept_jobs and any(self.blocks):
                self._store_jobs(self._cut(records.jobs))
            if number < kept_progress:
                self._store_progress(records.progress)
            elif number == kept_progress and any(self.blocks):
                self._store_progress(self._cut(records.progress))
            if number < min(kept_jobs, kept_progress) and any(self.blocks):
                self._store_progress(self._cut(records.dropped))

    def _cut(self, records: tuple[KeyedRecord, ...]) -> tuple[KeyedRecord, ...]:
        """Return some of the first of several records, as after a part of an append."""
        if len(records) < 2:
            return ()
        self.cut_rounds += 1
        return records[: self.random.randint(1, len(records) - 1)]

    def _store_jobs(self, records: tuple[KeyedRecord, ...]) -> None:
        for kept in records:
            self.registry.apply(StoredRecord(self.offset, kept.key, kept.value))
            self.offset += 1

    def _store_progress(self, records: tuple[KeyedRecord, ...]) -> None:
        for kept in records:
            self.progress.pop(kept.key, None)
            if kept.value:
                stored = StoredRecord(self.progress_offset, kept.key, kept.value)
                self.progress[kept.key] = stored
                self.block_records += kept.key.count(".") == BLOCK_KEY_DOTS
            self.progress_offset += 1


def _make_first_order(order: Order, worker: SimWorker | None) -> Order:
    """Return the first call on a new connection.

    A connection to another incarnation than the order is meant for gets a report call
    only, and the order is not sent.
    """
    match order:
        case StartOrder() | LeaseCall() if worker is not None:
            if order.started_ms not in (0, worker.started_ms):
                return LeaseCall(order.token, 0)
    return order
