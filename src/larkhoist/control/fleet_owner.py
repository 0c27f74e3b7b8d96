"""Run the scheduler of staged jobs while this instance holds the tenure.

The tenure is the leadership among the instances, held for a term.
"""

import asyncio
import logging
import time
import traceback
from collections.abc import Callable, Iterator

from returns.result import Failure, Success

from larkhoist.codes import Code
from larkhoist.control.call_times import TimedCalls, create_call_times
from larkhoist.control.catalog_keeper import CatalogKeeper
from larkhoist.control.cordon_keeper import CordonKeeper
from larkhoist.control.loop_lag import LoopLagMonitor
from larkhoist.control.roster_keeper import RosterKeeper
from larkhoist.control.round_records import encode_round
from larkhoist.control.stream_follower import StreamFollower
from larkhoist.control.stream_writer import StreamWriter, get_batch_limit
from larkhoist.control.tenure_keeper import TenureKeeper
from larkhoist.control.worker_clock import WorkerClock
from larkhoist.control.worker_session import (
    CallLimits,
    Message,
    ReportAnswer,
    SessionTimes,
    StartAnswer,
    StartDropped,
    StopAnswer,
    WorkerSession,
)
from larkhoist.daemon.clock import read_monotonic_s
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.fleet.effects import Round, StartTask
from larkhoist.fleet.incarnation import Incarnation
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.proofs import PROOF_NAMES
from larkhoist.fleet.scheduler import FleetScheduler, create_fleet_scheduler
from larkhoist.fleet.silent_leases import LeaseNote
from larkhoist.fleet.task import TaskState
from larkhoist.fleet.wait_notes import STALL_INTERVAL_S
from larkhoist.jobs.records import (
    JOB_STREAM,
    PROGRESS_STREAM,
    JobAccepted,
    JobCancelRequested,
    JobRecord,
    make_expiry_records,
    make_progress_drop,
)
from larkhoist.jobs.registry import JobRegistry
from larkhoist.ports.keyed_log import KeyedLogPort, StoredRecord
from larkhoist.ports.task_worker import TaskWorkerPort
from larkhoist.problem import Problem

__all__ = ["OWNER_GAUGES", "CreatePort", "FleetOwner"]

_logger = logging.getLogger(__name__)
OWNER_WRITER = "owner"
MAX_PAUSE_S = 0.25
"""Longest pause between two steps, so that leases and stops are checked regularly."""
PAUSE_RATIO = 1.5
"""Pause after a part of a step, as a multiple of the duration of the part."""
_END = object()
MAX_APPEND_DELAY_S = 1.0
"""No new decisions are made while records have waited longer for the log."""
TAKEOVER_TIMEOUT_S = 2.0
RETRY_TAKEOVER_S = 0.2
TRACEBACK_FRAMES = 4
"""Number of innermost stack frames in the log line of a failure."""
EXPIRY_INTERVAL_S = 10.0
"""How often expired jobs are removed. About 50 jobs expire per second, so that the
records of one interval fit into one append."""

OWNER_GAUGES = (
    "fleet_running",
    "fleet_waiting",
    "fleet_workers",
    "fleet_silent_workers",
    "fleet_unserved_steps",
    "fleet_longest_unserved_s",
    "fleet_held_up_s",
    "fleet_speed_low",
    "fleet_speed_high",
    "fleet_uneven",
    "fleet_loop_lag_s",
    "fleet_call_timeout_s",
    *(f"fleet_over_{name}" for name in PROOF_NAMES),
)
"""Gauges that only the owner can compute."""

CreatePort = Callable[[str, str], TaskWorkerPort]


class FleetOwner:
    """The scheduler, its worker sessions and its log writers, for one term.

    The tenure is released if the take-over keeps failing for ``take_over_s`` seconds
    although the log accepts renewals. Ended jobs expire after ``keep_s`` seconds.
    ``bandwidth_mbps`` is the bandwidth of the instance's link.
    """

    def __init__(
        self,
        term: int,
        log: KeyedLogPort,
        registry: JobRegistry,
        book_follower: StreamFollower,
        roster: RosterKeeper,
        roster_follower: StreamFollower,
        catalog: CatalogKeeper,
        cordons: CordonKeeper,
        policy: FleetPolicy,
        times: SessionTimes,
        limits: CallLimits,
        create_port: CreatePort,
        tenure: TenureKeeper,
        take_over_s: float,
        keep_s: float,
        bandwidth_mbps: float,
    ):
        self.term = term
        self._log = log
        self._keep_s = keep_s
        self._last_expiry_s = float("-inf")
        self._registry = registry
        self._book_follower = book_follower
        self._roster = roster
        self._roster_follower = roster_follower
        self._catalog = catalog
        self._cordons = cordons
        self._policy = policy
        self._times = times
        self._create_port = create_port
        self._tenure = tenure
        self._take_over_s = take_over_s
        max_batch_bytes = get_batch_limit(bandwidth_mbps)
        self._writer = StreamWriter(
            log,
            JOB_STREAM,
            OWNER_WRITER,
            term,
            is_term=True,
            max_batch_bytes=max_batch_bytes,
        )
        self._progress_writer = StreamWriter(
            log,
            PROGRESS_STREAM,
            OWNER_WRITER,
            term,
            is_term=True,
            newest_only=True,
            max_batch_bytes=max_batch_bytes,
        )
        self.scheduler: FleetScheduler | None = None
        self._sessions: dict[str, WorkerSession] = {}
        self._limits = limits
        self._call_times = create_call_times()
        self._lag_monitor = LoopLagMonitor(
            limits.loop_lag, self._call_times.note_own_delay
        )
        self._messages: list[Message] = []
        self._records: list[JobAccepted | JobCancelRequested] = []
        self._must_add_open_jobs = False
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._background_tasks: set[asyncio.Task] = set()
        self._roster_version = -1
        self._catalog_version = -1
        self._decisions_paused = False

    async def start(self) -> None:
        """Start taking over."""
        await self._lag_monitor.start()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop scheduling; running tasks continue until their leases end."""
        for session in self._sessions.values():
            session.refuse_starts()
        await cancel_tasks([self._task, *self._background_tasks])
        # One after another, the end of one session's orders would let others be sent.
        await asyncio.gather(*(s.close() for s in self._sessions.values()))
        await self._writer.close()
        await self._progress_writer.close()
        await self._roster_follower.close()
        await self._lag_monitor.close()
        log_event(_logger, "owner-stopped", term=self.term)

    def apply_record(self, record: JobRecord) -> None:
        """Pass a record that the registry has just applied on to the next step."""
        if isinstance(record, JobAccepted | JobCancelRequested):
            self._records.append(record)
            self._wake.set()

    def add_open_jobs(self) -> None:
        """Have the next step add all open jobs, since the registry was replaced."""
        self._must_add_open_jobs = True
        self._wake.set()

    def _apply_records(self, now_s: float, now_ms: int) -> None:
        """Pass accepted jobs and cancellations on that were read since the last step.

        They must not change the scheduler's state while a decision is in progress.
        """
        records, self._records = self._records, []
        for record in records:
            match record:
                case JobAccepted(job):
                    entry = self._registry.get(job.job_id)
                    if entry is not None and entry.outcome is None:
                        self.scheduler.add_job(entry, now_s, now_ms)
                case JobCancelRequested(job_id):
                    self.scheduler.cancel_job(job_id, now_s, now_ms)
        if self._must_add_open_jobs:
            self._must_add_open_jobs = False
            self._add_open_jobs(now_s, now_ms)

    def _add_open_jobs(self, now_s: float, now_ms: int) -> None:
        for entry in self._registry.entries.values():
            if entry.job is None or entry.outcome is not None:
                continue
            self.scheduler.add_job(entry, now_s, now_ms)
            if entry.cancelled:
                self.scheduler.cancel_job(entry.job.job_id, now_s, now_ms)

    @property
    def has_taken_over(self) -> bool:
        """Tell whether the take-over is complete and the scheduler is running."""
        return self.scheduler is not None

    def wake(self) -> None:
        """Run a step soon, which applies the current configuration."""
        self._wake.set()

    def is_worker_leaving(self, worker: str) -> bool:
        """Tell whether a worker is known to be leaving."""
        if self.scheduler is None:
            return False
        found = self.scheduler.state.workers.get(worker)
        return found is not None and found.leaving

    def get_gauges(self) -> dict[str, float]:
        """Return the gauges of the scheduler."""
        if self.scheduler is None:
            return {}
        now_s, _ = _get_times()
        tasks = [t for _, p in self.scheduler.state.iter_phases() for t in p.tasks]
        return {
            "fleet_running": float(sum(task.is_on_worker for task in tasks)),
            "fleet_waiting": float(
                sum(task.state is TaskState.WAITING for task in tasks)
            ),
            "fleet_workers": float(len(self.scheduler.state.workers)),
            "fleet_silent_workers": float(self._count_silent_workers()),
            "fleet_held_up_s": self._get_append_delay_s(now_s),
            "fleet_loop_lag_s": self._limits.loop_lag.get_longest_s(now_s - 1.0, now_s),
            "fleet_call_timeout_s": self._call_times.get_timeout_s(now_s),
            **self._measure_speeds(),
            **self._measure_unserved(),
            **self._count_ended_attempts(),
        }

    def _count_silent_workers(self) -> int:
        workers = self.scheduler.state.workers.values()
        return sum(worker.listed and worker.silent for worker in workers)

    def _measure_speeds(self) -> dict[str, float]:
        speeds = self.scheduler.state.speeds
        low, high = speeds.get_range()
        return {
            "fleet_speed_low": low,
            "fleet_speed_high": high,
            "fleet_uneven": float(speeds.is_uneven),
        }

    def _measure_unserved(self) -> dict[str, float]:
        """Return the gauges of job steps whose tasks have waited long for a start."""
        now_s, _ = _get_times()
        unserved_s = self.scheduler.list_unserved_s(now_s)
        long_unserved = sum(wait_s >= STALL_INTERVAL_S for wait_s in unserved_s)
        return {
            "fleet_unserved_steps": float(long_unserved),
            "fleet_longest_unserved_s": max(unserved_s, default=0.0),
        }

    def _count_ended_attempts(self) -> dict[str, float]:
        counts = self.scheduler.state.over_by_proof
        return {f"fleet_over_{name}": float(counts[name]) for name in PROOF_NAMES}

    # Taking over.

    async def _run(self) -> None:
        """Run the term; on an error, give the tenure up so that others can claim it."""
        try:
            await self._run_term()
        except Exception as error:
            log_event(
                _logger,
                "owner-failed",
                logging.ERROR,
                term=self.term,
                reason=repr(error),
                trace=traceback.format_exc(limit=-TRACEBACK_FRAMES),
            )
            self._tenure.give_up("the scheduler failed")

    async def _run_term(self) -> None:
        if not await self._take_over_in_time():
            self._tenure.request_release("the take-over kept failing")
            return
        await self._writer.start()
        await self._progress_writer.start()
        # Sessions with workers open in a step; no other event may trigger one for long.
        self._wake.set()
        while True:
            try:
                async with asyncio.timeout(self._get_pause_s()):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if self._writer.fenced or self._progress_writer.fenced:
                self._tenure.give_up("a writer was fenced by a newer term")
                return
            # Messages that arrive during a pause are handled in one step.
            await _run_in_parts(self._step())
            if self.scheduler.has_more:
                self._wake.set()

    def _get_pause_s(self) -> float:
        if self._decisions_paused:
            return MAX_PAUSE_S
        now_s, _ = _get_times()
        return max(0.0, min(MAX_PAUSE_S, self.scheduler.get_next_due_s(now_s) - now_s))

    async def _take_over_in_time(self) -> bool:
        """Retry the take-over; return False if it fails for ``take_over_s`` seconds.

        Time in which renewals fail as well does not count: the log is unavailable
        then, and no other instance could take over either.
        """
        failing_since_s, _ = _get_times()
        while not await self._take_over():
            now_s, _ = _get_times()
            if not self._tenure.is_renewed(now_s):
                failing_since_s = now_s
            if now_s - failing_since_s > self._take_over_s:
                return False
            await asyncio.sleep(RETRY_TAKEOVER_S)
        return True

    async def _take_over(self) -> bool:
        began_s, _ = _get_times()
        progress = await self._read_state()
        if progress is None:
            return False
        await self._roster_follower.start()
        now_s, now_ms = _get_times()
        scheduler = create_fleet_scheduler(self._policy, now_s)
        scheduler.update_workers(self._roster.list_entries(), now_s)
        left_over = self._registry.replace_progress(progress)
        await _run_in_parts(scheduler.load_jobs_in_parts(self._registry, now_s, now_ms))
        # The registry may have changed between the parts.
        self._must_add_open_jobs = True
        self.scheduler = scheduler
        log_event(
            _logger,
            "take-over-done",
            term=self.term,
            offset=self._book_follower.position,
            jobs=len(scheduler.state.jobs),
            phases=len(progress),
            workers=len(scheduler.state.workers),
            left_over=len(left_over),
            took_s=round(now_s - began_s, 3),
        )
        if left_over:
            drops = tuple(make_progress_drop(part) for part in left_over)
            self._spawn(self._progress_writer.commit(drops))
        return True

    async def _read_state(self) -> tuple[StoredRecord, ...] | None:
        """Fence former owners, then read all streams; return the progress records.

        Once both streams are fenced, no other owner can write progress, so the newest
        record of each key is the complete progress. Returns None on failure.
        """
        for writer in (self._writer, self._progress_writer):
            match await writer.fence():
                case Failure(problem) if problem.code is Code.FENCED:
                    self._tenure.give_up("the log was fenced by a newer term")
                    await asyncio.sleep(TAKEOVER_TIMEOUT_S)
                    return None
                case Failure(problem):
                    self._log_take_over_waits(problem)
                    return None
        for follower in (self._book_follower, self._roster_follower):
            if not await follower.catch_up(TAKEOVER_TIMEOUT_S):
                self._log_take_over_waits(
                    f"stream {follower.stream} could not be read to its end"
                )
                return None
        match await self._log.read_newest(PROGRESS_STREAM):
            case Success(newest):
                return newest.records
            case Failure(problem):
                self._log_take_over_waits(problem)
                return None

    def _log_take_over_waits(self, reason: Problem | str) -> None:
        log_event(_logger, "take-over-waits", term=self.term, reason=reason)

    # One step.

    def _step(self) -> Iterator[None]:
        """Handle what has arrived, decide and carry the decision out, in parts."""
        now_s, now_ms = _get_times()
        scheduler = self.scheduler
        self._apply_records(now_s, now_ms)
        if self._roster_version != self._roster.version:
            self._roster_version = self._roster.version
            scheduler.update_workers(self._roster.list_entries(), now_s)
            self._sync_sessions()
        messages, self._messages = self._messages, []
        for message in messages:
            self._handle_message(message, now_s, now_ms)
        self._apply_catalog()
        scheduler.set_cordoned_halls(self._cordons.halls)
        if self._update_decisions_paused(now_s):
            return
        self._expire_jobs(now_s, now_ms)
        yield from scheduler.decide_in_parts(now_s, now_ms)
        self._carry_out(scheduler.take_round(now_s, now_ms))
        self._update_sessions()

    def _update_decisions_paused(self, now_s: float) -> bool:
        """Return whether decisions pause because the log is slow; log each change."""
        delay_s = self._get_append_delay_s(now_s)
        paused = delay_s > MAX_APPEND_DELAY_S
        if paused != self._decisions_paused:
            self._decisions_paused = paused
            event = "owner-held-up" if paused else "owner-goes-on"
            delay = round(delay_s, 3)
            log_event(_logger, event, term=self.term, append_delay_s=delay)
        return paused

    def _get_append_delay_s(self, now_s: float) -> float:
        writers = (self._writer, self._progress_writer)
        return max(writer.get_delay_s(now_s) for writer in writers)

    def _expire_jobs(self, now_s: float, now_ms: int) -> None:
        """Remove the records of jobs that ended more than ``keep_s`` seconds ago."""
        if now_s < self._last_expiry_s + EXPIRY_INTERVAL_S:
            return
        self._last_expiry_s = now_s
        expired = self._registry.list_expired(now_ms - int(self._keep_s * 1000))
        if expired:
            log_event(_logger, "jobs-expired", term=self.term, jobs=len(expired))
            records = [r for job_id in expired for r in make_expiry_records(job_id)]
            self._spawn(self._writer.commit(tuple(records)))

    def _apply_catalog(self) -> None:
        catalog = self._catalog.catalog
        if catalog is not None and catalog.version != self._catalog_version:
            self._catalog_version = catalog.version
            self.scheduler.set_guarantees(catalog.get_guarantees())

    def _sync_sessions(self) -> None:
        for roster_entry in self._roster.workers.values():
            entry = roster_entry.entry
            incarnation = Incarnation(entry.started_ms, roster_entry.heard_s)
            clock = WorkerClock(entry.clock_ms, roster_entry.heard_s)
            self._open_session(
                entry.name, entry.address, entry.hall, incarnation, clock
            )
        for worker in self.scheduler.list_unlisted():
            incarnation = Incarnation()
            clock = WorkerClock()
            self._open_session(
                worker.name, worker.address, worker.hall, incarnation, clock
            )

    def _open_session(
        self,
        name: str,
        address: str,
        hall: str,
        incarnation: Incarnation,
        clock: WorkerClock,
    ) -> None:
        """Open a session, or update the existing one with the listed start time.

        It is reopened if the worker has restarted at another address.
        """
        session = self._sessions.get(name)
        if session is not None:
            has_restarted = session.update_incarnation(incarnation.started_ms)
            if not has_restarted or session.address == address:
                return
            self._spawn(session.close())
        port = self._create_port(name, address)
        session = WorkerSession(
            name,
            address,
            TimedCalls(port, name, hall, self._call_times),
            lambda: self._tenure.token,
            self._times,
            self._limits,
            incarnation,
            clock,
            self._grant_lease,
            self._grant_start,
            self._enqueue_message,
        )
        self._sessions[name] = session
        self._spawn(session.start())

    def _update_sessions(self) -> None:
        workers = self.scheduler.state.workers
        for name, session in list(self._sessions.items()):
            if name in workers:
                session.set_busy(self.scheduler.is_busy(name))
            else:
                self._spawn(self._sessions.pop(name).close())

    def _grant_lease(self, worker: str, now_s: float) -> float | None:
        if not self._tenure.may_renew_leases(now_s):
            return None
        return self.scheduler.grant_lease(worker, now_s)

    def _grant_start(self, order: StartTask, now_s: float) -> float | None:
        # The order may have become obsolete while it waited for its turn or a retry.
        if not self._is_wanted(order):
            return None
        return self._grant_lease(order.worker, now_s)

    def _is_wanted(self, order: StartTask) -> bool:
        """Tell whether a start is still to be sent.

        An announcement that was read since the last step counts already.
        """
        if self._roster.is_leaving(order.worker, order.started_ms):
            return False
        return self.scheduler.is_wanted(order.task, order.attempt)

    def _enqueue_message(self, message: Message) -> None:
        self._messages.append(message)
        self._wake.set()

    def _handle_message(self, message: Message, now_s: float, now_ms: int) -> None:
        scheduler = self.scheduler
        if message.worker not in scheduler.state.workers:
            return
        match message:
            case ReportAnswer(worker, asked_s, Success(report)):
                scheduler.note_heard(worker, asked_s)
                scheduler.handle_report(worker, report, asked_s, now_s, now_ms)
            case ReportAnswer(worker, _, Failure(problem)):
                if problem.code is Code.ORDER_REFUSED:
                    scheduler.note_refused(worker)
                self._handle_failed_call(worker, problem.code, now_s, problem.detail)
            case StartDropped(_, task, attempt):
                scheduler.note_never_sent(task, attempt, now_s)
            case StartAnswer(worker, task, attempt, code, may_have_started, detail):
                scheduler.handle_start_answer(
                    task, attempt, code, may_have_started, now_s, detail
                )
                if code is not None and not message.owner_late:
                    self._handle_failed_call(worker, code, now_s, detail)
            case StopAnswer(worker, task, attempt, None):
                scheduler.handle_stop_answer(task, attempt, now_s)
            case StopAnswer(worker, _, _, code):
                self._handle_failed_call(worker, code, now_s)

    def _handle_failed_call(
        self, worker: str, code: Code, now_s: float, detail: str = ""
    ) -> None:
        match code:
            case Code.FENCED:
                self._tenure.give_up(f"worker {worker} knows a newer term")
            case Code.WORKER_REPLACED:
                self.scheduler.note_replaced(worker, now_s)
            case Code.WORKER_SILENT | Code.WORKER_UNREACHABLE:
                reason = f"{code.name} {detail}".strip()
                self.scheduler.note_silent(worker, now_s, reason)

    # Carrying out decisions.

    def _carry_out(self, decided: Round) -> None:
        for note in decided.notes:
            log_event(_logger, note.event, term=self.term, **note.fields)
        for stop in decided.stops:
            session = self._sessions.get(stop.worker)
            if session is not None:
                session.order_stop(stop)
        for name in decided.probes:
            if name in self._sessions:
                self._sessions[name].probe()
        if decided.has_effects:
            self._spawn(self._commit(decided))

    async def _commit(self, decided: Round) -> None:
        records = encode_round(decided)
        problems = await asyncio.gather(
            self._writer.commit(records.jobs),
            self._progress_writer.commit(records.progress),
        )
        for problem in problems:
            if problem is not None:
                log_event(_logger, "round-dropped", term=self.term, reason=problem)
                if problem.code is Code.APPEND_REFUSED:
                    # The state in memory is ahead of the log; a new owner reads the
                    # state from the log.
                    self._tenure.give_up("the log refused records")
                self._wake.set()
                return
        if decided.leases is not None:
            self._renew_recorded_leases(decided.leases)
        for name, seen in decided.seen.items():
            if name in self._sessions:
                self._sessions[name].acknowledge(seen)
        for order in decided.starts:
            self._send_start(order)
        if records.dropped:
            await self._progress_writer.commit(records.dropped)

    def _renew_recorded_leases(self, note: LeaseNote) -> None:
        for name in self.scheduler.take_lease_note(note):
            if name in self._sessions:
                self._sessions[name].renew()

    def _send_start(self, order: StartTask) -> None:
        session = self._sessions.get(order.worker)
        if session is None or not self._is_wanted(order):
            dropped = StartDropped(order.worker, order.task, order.attempt)
            self._enqueue_message(dropped)
            return
        session.set_busy(True)
        session.order_start(order)

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


async def _run_in_parts(parts: Iterator[None]) -> None:
    """Run all parts with a pause after each.

    This leaves most of the processor to API calls, worker sessions and the renewal of
    the tenure, however much there is to do.
    """
    is_last = False
    while not is_last:
        began_s, _ = _get_times()
        is_last = next(parts, _END) is _END
        await asyncio.sleep(PAUSE_RATIO * (_get_times()[0] - began_s))


def _get_times() -> tuple[float, int]:
    return read_monotonic_s(), int(time.time() * 1000)
