"""Call one worker on behalf of the owner, across restarts under the same name."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.control.call_times import TimedCalls
from larkhoist.control.loop_lag import LoopLag
from larkhoist.control.start_limit import (
    StartLimit,
    StartTurn,
    create_start_limit,
    get_size,
)
from larkhoist.control.worker_clock import WorkerClock
from larkhoist.daemon.clock import read_monotonic_s
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.fleet.effects import SeenEnds, StartTask, StopTask
from larkhoist.fleet.incarnation import Incarnation, IncarnationOrder
from larkhoist.ports.task_worker import (
    LeaseCall,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from larkhoist.problem import Problem

__all__ = [
    "CallLimits",
    "GrantLease",
    "GrantStart",
    "Message",
    "ReportAnswer",
    "SessionTimes",
    "StartAnswer",
    "StartDropped",
    "StopAnswer",
    "WorkerSession",
]


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """The result of a request for a report that was sent at ``asked_s``."""

    worker: str
    asked_s: float
    result: Result[WorkerReport, Problem]


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """The result of a start order; ``code`` is None if the task has started.

    ``may_have_started`` tells that a try got no answer: it may have started the task
    or may still start it, whatever the last answer says. ``detail`` is from the last
    answer. ``owner_late`` tells that the last try got no answer while the owner was
    late itself, so that the worker does not count as silent.
    """

    worker: str
    task: str
    attempt: int
    code: Code | None
    may_have_started: bool = False
    detail: str = ""
    owner_late: bool = False


@dataclass(frozen=True, slots=True)
class StartDropped:
    """A start order that was not sent, since it was obsolete or not allowed."""

    worker: str
    task: str
    attempt: int


@dataclass(frozen=True, slots=True)
class StopAnswer:
    """The result of a stop order; ``code`` is None if the worker accepted it."""

    worker: str
    task: str
    attempt: int
    code: Code | None


MAX_CONCURRENT_CALLS = 128
"""Concurrent calls of all sessions. At 1 ms of the owner's processor each, all finish
well within their time-out."""
MAX_UNANSWERED_CALLS = 3
"""A worker that does not answer so many calls in a row is silent, even if the owner's
event loop was late during each of them."""
UNLIMITED_MBPS = 1000.0
"""On a link of this bandwidth, the limit on start orders is not reached."""
GrantLease = Callable[[str, float], float | None]
GrantStart = Callable[[StartTask, float], float | None]
Message = ReportAnswer | StartAnswer | StartDropped | StopAnswer


@dataclass(frozen=True, slots=True)
class SessionTimes:
    """The times of a session, in seconds.

    ``wait_share`` is how much of a lease may pass between two renewals: with a small
    share, leases outlast short network outages. ``idle_wait_s`` is how long a call
    without a lease waits. A clock reading that is older than ``clock_age_s`` is
    refreshed before a start. While a higher token is needed, the session checks for
    one every ``token_pause_s``.
    """

    idle_wait_s: float = 0.6
    clock_age_s: float = 30.0
    longest_wait_s: float = 1.0
    wait_share: float = 0.1
    silent_pause_s: float = 0.4
    token_pause_s: float = 0.05
    ack_wait_s: float = 0.3
    start_tries: int = 2
    start_pause_s: float = 0.1

    def get_wait_ms(self, lease_s: float | None) -> int:
        """Return how long the worker may hold a call until a task ends, in ms."""
        if lease_s is None:
            return int(1000 * self.idle_wait_s)
        return int(1000 * min(self.longest_wait_s, lease_s * self.wait_share))


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits on concurrent calls of all sessions that workers answer without waiting.

    ``loop_lag`` tells whether the owner itself was late during a call.
    ``starts`` limits start orders, the others limit requests for reports. Concurrent
    calls share one processor: with thousands of them, each would get too little of it
    within its time-out. Calls to silent workers mostly last until their time-out and
    have a limit of their own, so that other calls don't wait for them.
    """

    prompt: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    )
    silent: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    )
    starts: StartLimit = field(
        default_factory=lambda: create_start_limit(UNLIMITED_MBPS)
    )
    loop_lag: LoopLag = field(default_factory=LoopLag)


class WorkerSession:
    """The calls to one worker; their results go to the owner by ``send_message``.

    ``grant_lease`` returns the length of the lease that a call may grant, in seconds,
    or None for no lease; ``grant_start`` does so for a start, which must not be sent
    where it returns None. ``get_token`` returns the owner's fencing token, which
    increases with each renewal of the tenure.
    Each incarnation of the worker is called with a higher token than the former one,
    so that it refuses delayed calls that were sent to the former one. Starts and
    acknowledgements name their incarnation and take effect in no other one: a new
    incarnation has seen no token yet, and uses the same numbers for other ends.
    """

    def __init__(
        self,
        name: str,
        address: str,
        calls: TimedCalls,
        get_token: Callable[[], int],
        times: SessionTimes,
        limits: CallLimits,
        incarnation: Incarnation,
        clock: WorkerClock,
        grant_lease: GrantLease,
        grant_start: GrantStart,
        send_message: Callable[[Message], None],
    ):
        self.address = address
        self._name = name
        self._calls = calls
        self._get_token = get_token
        self._token = get_token()
        self._needs_higher_token = False
        self._times = times
        self._limits = limits
        self._incarnation = incarnation
        self._clock = clock
        self._grant_lease = grant_lease
        self._grant_start = grant_start
        self._send_message = send_message
        self._busy = True
        self._refuses_starts = False
        self._silent = False
        self._has_answered = False
        self._has_unanswered_call = False
        self._unanswered_reports = 0
        self._acknowledged = 0
        self._to_acknowledge = 0
        self._wake = asyncio.Event()
        self._ack_added = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._background_tasks: set[asyncio.Task] = set()
        self._clock_request: asyncio.Task | None = None

    async def start(self) -> None:
        """Start requesting reports, the first one at once."""
        self._wake.set()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel all calls to the worker."""
        await cancel_tasks([self._task, *self._background_tasks])

    def refuse_starts(self) -> None:
        """Drop the start orders that wait, and all later ones."""
        self._refuses_starts = True

    def set_busy(self, busy: bool) -> None:
        """Set whether tasks may run on the worker, so that its lease is renewed."""
        self._busy = busy
        if busy:
            self._wake.set()

    def acknowledge(self, seen: SeenEnds) -> None:
        """Acknowledge the ends up to ``seen.number``, which are on the log."""
        if seen.started_ms != self._incarnation.started_ms:
            # The current incarnation uses the same numbers for other ends.
            return
        if seen.number > self._to_acknowledge:
            self._to_acknowledge = seen.number
            self._ack_added.set()
            self._wake.set()

    def update_incarnation(self, started_ms: int) -> bool:
        """Apply the listed start time; return whether it begins a new incarnation."""
        match self._incarnation.compare(started_ms):
            case IncarnationOrder.LATER:
                self._begin_incarnation(started_ms)
                return True
            case IncarnationOrder.SAME if not self._incarnation.started_ms:
                self._incarnation.started_ms = started_ms
        return False

    def probe(self) -> None:
        """Request a report at once, concurrently with calls in flight."""
        self._spawn(self._probe())

    def renew(self) -> None:
        """Renew the lease at once, concurrently with a call that carries no lease."""
        self._spawn(self._probe(with_lease=True))

    def order_start(self, order: StartTask) -> None:
        """Send a start when its turn comes; retry it if no answer arrives.

        Turns follow the sequence of the calls of this method.
        """
        turn = self._limits.starts.enqueue(get_size(order))
        task = self._spawn(self._start(order, turn))
        # A cancelled task may never have run, so it can't end the turn itself.
        task.add_done_callback(lambda _: self._limits.starts.end(turn))

    def order_stop(self, order: StopTask) -> None:
        """Send a stop once; the scheduler repeats it if necessary."""
        self._spawn(self._stop(order))

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            await self._request_report()
            # Calls to a silent worker go on, since it gets no tasks until it answers.
            idle = not (self._busy or self._silent or self._has_unanswered_call)
            idle = idle and not self._needs_higher_token
            if idle and self._acknowledged >= self._to_acknowledge:
                self._wake.clear()

    async def _request_report(self) -> None:
        if not self._refresh_token():
            await asyncio.sleep(self._times.token_pause_s)
            return
        if self._may_wait:
            result = await self._request_report_once(waits=True)
        else:
            async with self._call_limit:
                result = await self._request_report_once(waits=False)
        match result:
            case Success(report):
                await self._wait_for_log(report)
            case Failure(_):
                await asyncio.sleep(self._times.silent_pause_s)

    @property
    def _may_wait(self) -> bool:
        """Tell whether the worker may hold the next call until a task ends.

        The first answer is needed at once, and no lease can be granted while the
        worker's clock is unknown.
        """
        is_responsive = self._has_answered and not (
            self._silent or self._has_unanswered_call
        )
        return self._busy and is_responsive and self._clock.is_known

    @property
    def _call_limit(self) -> asyncio.Semaphore:
        return self._limits.silent if self._silent else self._limits.prompt

    async def _request_report_once(
        self, waits: bool
    ) -> Result[WorkerReport, Problem] | None:
        # The worker may have restarted while the call waited for its turn.
        if not self._refresh_token():
            return None
        now_s = read_monotonic_s()
        lease_s = None if self._silent else self._grant_lease(self._name, now_s)
        lease_until_ms = self._get_until_ms(now_s, lease_s)
        wait_ms = self._times.get_wait_ms(lease_s) if waits else 0
        acknowledged = self._get_acknowledgement()
        started_ms = self._incarnation.started_ms if acknowledged else 0
        call = LeaseCall(self._token, acknowledged, lease_until_ms, wait_ms, started_ms)
        self._has_unanswered_call = False
        result = await self._renew(call, now_s)
        self._ack_added.clear()
        if result is None:
            return None
        if self._may_repeat(result, now_s, self._unanswered_reports + 1):
            self._unanswered_reports += 1
            self._handle_unanswered_call()
            return None
        self._unanswered_reports = 0
        self._send_message(ReportAnswer(self._name, now_s, result))
        match result:
            case Success(_):
                self._silent = False
                self._has_answered = True
                if self._is_current(call.token):
                    self._acknowledged = max(self._acknowledged, acknowledged)
            case Failure(_):
                # The unanswered call may have renewed the lease. It is not renewed
                # again until the worker answers, so that its end can be relied on.
                self._silent = True
        return result

    def _get_until_ms(self, now_s: float, lease_s: float | None) -> int | None:
        """Return when a lease ends on the worker's clock, None for no lease."""
        if lease_s is None:
            return None
        return self._clock.get_lease_until_ms(now_s, lease_s)

    async def _probe(self, *, with_lease: bool = False) -> None:
        tries = 1
        async with self._call_limit:
            while await self._probe_once(with_lease, tries):
                tries += 1

    async def _probe_once(self, with_lease: bool, tries: int) -> bool:
        """Request a report for the ``tries``-th time; return whether to repeat that."""
        if not self._refresh_token():
            self._handle_unanswered_call()
            return False
        now_s = read_monotonic_s()
        may_renew = with_lease and not self._silent
        lease_s = self._grant_lease(self._name, now_s) if may_renew else None
        lease_until_ms = self._get_until_ms(now_s, lease_s)
        result = await self._renew(LeaseCall(self._token, 0, lease_until_ms), now_s)
        if self._may_repeat(result, now_s, tries):
            return True
        match result:
            case None:
                return False
            case Failure(_):
                self._handle_unanswered_call()
        self._send_message(ReportAnswer(self._name, now_s, result))
        return False

    async def _renew(
        self, call: LeaseCall, asked_s: float
    ) -> Result[WorkerReport, Problem] | None:
        """Request a report; return None if a former incarnation has answered.

        A call that was fenced by a higher token of this session also returns None.
        """
        result = await self._calls.renew(call)
        match result:
            case Success(report):
                match self._incarnation.compare(report.started_ms, asked_s):
                    case IncarnationOrder.FORMER:
                        return None
                    case IncarnationOrder.LATER:
                        self._begin_incarnation(report.started_ms)
                now_s = read_monotonic_s()
                self._incarnation.record_answer(report.started_ms, now_s)
                self._clock.take(report.clock_ms, now_s)
            case Failure(problem):
                if problem.code is Code.FENCED and call.token < self._token:
                    return None
        return result

    def _get_acknowledgement(self) -> int:
        """Return the end number that the next call acknowledges, 0 for none.

        Nothing is acknowledged after a call without an answer: the worker may have
        restarted, and would drop ends with the same numbers that have not been reported
        yet.
        """
        is_pending = self._to_acknowledge > self._acknowledged
        is_responsive = not (self._silent or self._has_unanswered_call)
        return self._to_acknowledge if is_pending and is_responsive else 0

    def _begin_incarnation(self, started_ms: int) -> None:
        """Discard the clock and the end numbers of the former incarnation."""
        self._incarnation = Incarnation(started_ms, read_monotonic_s())
        self._clock = WorkerClock()
        self._acknowledged = 0
        self._to_acknowledge = 0
        self._needs_higher_token = True
        self._wake.set()

    def _is_current(self, token: int) -> bool:
        """Tell whether a call with ``token`` was sent to the current incarnation."""
        return token == self._token and not self._needs_higher_token

    def _refresh_token(self) -> bool:
        """Take a higher token if a restart requires one; return whether it is usable.

        Reports and starts wait for it: until the worker has seen a higher token, it
        also accepts delayed calls that were sent to its former incarnation.
        """
        if self._needs_higher_token:
            token = self._get_token()
            self._needs_higher_token = token <= self._token
            self._token = max(token, self._token)
        return not self._needs_higher_token

    async def _wait_for_log(self, report: WorkerReport) -> None:
        newest = max((ended.number for ended in report.ended), default=0)
        while newest > self._to_acknowledge:
            try:
                async with asyncio.timeout(self._times.ack_wait_s):
                    await self._ack_added.wait()
                    self._ack_added.clear()
            except TimeoutError:
                return

    async def _start(self, order: StartTask, turn: StartTurn) -> None:
        if self._clock.get_age_s(read_monotonic_s()) > self._times.clock_age_s:
            # An old estimate of the clock shortens the lease; after 300 s nothing of
            # the lease is left.
            await self._request_clock()
        await turn.granted.wait()
        self._refresh_token()
        token = self._token
        call = self._make_start(order, token)
        if call is None:
            self._send_message(StartDropped(self._name, order.task, order.attempt))
            return
        tries, may_have_started, owner_late = 0, False, False
        while call is not None:
            tries += 1
            asked_s = read_monotonic_s()
            result = await self._try_start(call)
            may_have_started = may_have_started or _may_have_acted(result)
            owner_late = self._may_repeat(result, asked_s, tries)
            if not owner_late:
                if not _is_unanswered(result) or tries >= self._times.start_tries:
                    break
                await asyncio.sleep(self._times.start_pause_s)
            self._limits.starts.enqueue_again(turn)
            await turn.granted.wait()
            call = self._make_start(order, token)
        if _is_unanswered(result):
            self._handle_unanswered_call()
        self._send_message(
            self._make_start_answer(order, result, may_have_started, owner_late)
        )

    def _make_start_answer(
        self,
        order: StartTask,
        result: Result[int, Problem],
        may_have_started: bool,
        owner_late: bool,
    ) -> StartAnswer:
        match result:
            case Failure(problem):
                code, detail = problem.code, problem.detail
            case _:
                code, detail = None, ""
        return StartAnswer(
            self._name,
            order.task,
            order.attempt,
            code,
            may_have_started,
            detail,
            owner_late,
        )

    async def _request_clock(self) -> None:
        """Request a report for its clock; concurrent starts share one request."""
        if self._clock_request is None or self._clock_request.done():
            self._clock_request = asyncio.create_task(self._probe())
            self._track(self._clock_request)
        await asyncio.wait([self._clock_request])

    def _make_start(self, order: StartTask, token: int) -> StartOrder | None:
        """Return the call for a start that is sent now, None if it must not be sent.

        All tries use the same ``token``, so that none can act in a later incarnation
        after a report of it has shown that the attempt is absent.
        """
        if self._refuses_starts:
            return None
        if self._incarnation.is_other(order.started_ms):
            # A later owner would look for the attempt only in the former incarnation.
            return None
        if not self._refresh_token() or token != self._token:
            return None
        now_s = read_monotonic_s()
        # A start also renews the lease of all other tasks on the worker.
        lease_s = self._grant_start(order, now_s)
        if lease_s is None:
            return None
        lease_until_ms = self._clock.get_lease_until_ms(now_s, lease_s)
        if lease_until_ms is None:
            return None
        return StartOrder(
            order.task,
            order.attempt,
            order.payload,
            lease_until_ms,
            token,
            order.checkpoint,
            self._incarnation.started_ms,
        )

    async def _try_start(self, call: StartOrder) -> Result[int, Problem]:
        result = await self._calls.start_task(call)
        return self._take_order_answer(result, call.token)

    async def _stop(self, order: StopTask) -> None:
        result = await self._try_stop(order, 1)
        code = None
        match result:
            case Failure(problem):
                code = problem.code
        if _is_unanswered(result):
            self._handle_unanswered_call()
        self._send_message(StopAnswer(self._name, order.task, order.attempt, code))

    async def _try_stop(self, order: StopTask, tries: int) -> Result[int, Problem]:
        self._refresh_token()
        call = StopOrder(order.task, order.attempt, self._token)
        asked_s = read_monotonic_s()
        result = self._take_order_answer(await self._calls.stop_task(call), call.token)
        if self._may_repeat(result, asked_s, tries):
            return await self._try_stop(order, tries + 1)
        return result

    def _may_repeat(
        self, result: Result | None, asked_s: float, unanswered: int
    ) -> bool:
        """Tell whether a call must be repeated at once, as the owner was late itself.

        ``unanswered`` is the number of such calls in a row, if this one is unanswered.
        """
        if not _is_unanswered(result) or unanswered >= MAX_UNANSWERED_CALLS:
            return False
        return self._limits.loop_lag.was_late(asked_s, read_monotonic_s())

    def _handle_unanswered_call(self) -> None:
        """Request reports until one arrives.

        Unless the owner was late itself, it treats the worker as silent until then and
        assigns it no tasks.
        """
        self._has_unanswered_call = True
        self._wake.set()

    def _take_order_answer(
        self, result: Result[int, Problem], token: int
    ) -> Result[int, Problem]:
        """Update the clock from the answer to an order that was sent with ``token``."""
        if not self._is_current(token):
            return _convert_outdated_fencing(result)
        match result:
            case Success(clock_ms):
                self._clock.take(clock_ms, read_monotonic_s())
        return result

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._track(task)
        return task

    def _track(self, task: asyncio.Task) -> None:
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _convert_outdated_fencing(result: Result[int, Problem]) -> Result[int, Problem]:
    """Replace ``FENCED`` where this session has moved on to a higher token itself.

    ``FENCED`` would make the owner give up its tenure.
    """
    match result:
        case Failure(problem) if problem.code is Code.FENCED:
            detail = "the worker restarted after the order was sent"
            return Failure(Problem(Code.ORDER_TOO_LATE, detail=detail))
    return result


def _is_unanswered(result: Result | None) -> bool:
    match result:
        case Failure(problem):
            return problem.code in (Code.WORKER_SILENT, Code.WORKER_UNREACHABLE)
    return False


def _may_have_acted(result: Result[int, Problem]) -> bool:
    match result:
        case Failure(problem):
            return problem.code is Code.WORKER_SILENT
    return False
