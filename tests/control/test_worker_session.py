"""Check the calls of a worker session when answers are lost or workers restart."""

import asyncio

import pytest
from returns.result import Failure, Success

from larkhoist.codes import Code
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
from larkhoist.fleet.effects import SeenEnds, StartTask, StopTask
from larkhoist.fleet.incarnation import Incarnation
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.ports.task_worker import EndedTask, EndKind, WorkerReport
from larkhoist.problem import Problem

QUICK = SessionTimes(start_pause_s=0.01, silent_pause_s=0.01)
ORDER = StartTask("w0", "job.0.0.0", 3, "text", "")


class ScriptedWorker:
    """Simulated worker that answers starts with the given codes in turn."""

    def __init__(self, *codes: Code | None):
        self.codes = list(codes)

    async def start_task(self, order):
        code = self.codes.pop(0)
        return Success(1) if code is None else Failure(Problem(code))

    async def renew(self, call):
        return Success(WorkerReport(1, (), ()))


def make_session(
    worker,
    tell=lambda message: None,
    clock=None,
    lease_s=6.0,
    grant_start=None,
    get_token=lambda: 1,
    started_ms=0,
    limits=None,
) -> WorkerSession:
    """Return a session with a worker whose clock was last read just now, at 0."""
    return WorkerSession(
        "w0",
        "address",
        worker,
        get_token,
        QUICK,
        limits or CallLimits(),
        Incarnation(started_ms, read_monotonic_s()),
        clock or WorkerClock(0, read_monotonic_s()),
        lambda *_: lease_s,
        grant_start or (lambda *_: lease_s),
        tell,
    )


@pytest.mark.parametrize(
    ("codes", "code", "may_have_started"),
    [
        ((None,), None, False),
        ((Code.ATTEMPT_TOO_OLD,), Code.ATTEMPT_TOO_OLD, False),
        ((Code.WORKER_SILENT, None), None, True),
        # The first try started the task, which had ended before the second arrived.
        ((Code.WORKER_SILENT, Code.ATTEMPT_TOO_OLD), Code.ATTEMPT_TOO_OLD, True),
        ((Code.WORKER_SILENT, Code.WORKER_FULL), Code.WORKER_FULL, True),
        ((Code.WORKER_SILENT, Code.WORKER_SILENT), Code.WORKER_SILENT, True),
        ((Code.WORKER_UNREACHABLE, None), None, False),
        ((Code.WORKER_UNREACHABLE,) * 2, Code.WORKER_UNREACHABLE, False),
        ((Code.WORKER_SILENT, Code.WORKER_UNREACHABLE), Code.WORKER_UNREACHABLE, True),
        ((Code.WORKER_UNREACHABLE, Code.WORKER_SILENT), Code.WORKER_SILENT, True),
    ],
)
async def test_a_refusal_after_a_lost_answer_proves_nothing(
    codes, code, may_have_started
):
    messages = []
    session = make_session(ScriptedWorker(*codes), tell=messages.append)
    session.order_start(ORDER)
    async with asyncio.timeout(10):
        while not messages:
            await asyncio.sleep(0.005)
    await session.close()
    assert messages == [
        StartAnswer("w0", ORDER.task, ORDER.attempt, code, may_have_started)
    ]


class RecordingWorker:
    """Simulated worker that records starts; its clock always shows ``clock_ms``."""

    def __init__(self, clock_ms: int = 0):
        self.starts = []
        self._clock_ms = clock_ms

    async def start_task(self, order):
        self.starts.append(order)
        return Success(self._clock_ms)

    async def renew(self, call):
        return Success(WorkerReport(self._clock_ms, (), ()))


async def capture_start_after_idle(
    worker: RecordingWorker, idle_s: float, lease_s: float
):
    """Return the first start of a session whose last answer is ``idle_s`` old."""
    session = make_session(
        worker, clock=WorkerClock(0, read_monotonic_s() - idle_s), lease_s=lease_s
    )
    session.order_start(ORDER)
    async with asyncio.timeout(10):
        while not worker.starts:
            await asyncio.sleep(0.005)
    await session.close()
    return worker.starts[0]


async def test_a_lease_is_over_in_time_after_a_rest_with_a_slow_clock():
    # The worker's clock is 2 % slow and was last read 29 s ago. The start is carried
    # out 1.5 s late, so that the worker's own limit on leases does not shorten it.
    idle_s, late_s, rate = 29.0, 1.5, 0.98
    policy = FleetPolicy()
    order = await capture_start_after_idle(RecordingWorker(), idle_s, policy.lease_s)
    longest_ms = 1000 * ((idle_s + late_s) * rate + policy.lease_s)
    until_ms = min(order.lease_until_ms, longest_ms)
    lasts_s = until_ms / 1000 / rate - idle_s
    assert lasts_s <= policy.lapse_s


async def test_a_start_after_a_long_rest_asks_for_the_clock_first():
    idle_s = 600.0
    worker = RecordingWorker(clock_ms=int(idle_s * 1000))
    order = await capture_start_after_idle(worker, idle_s, 6.0)
    assert order.lease_until_ms >= idle_s * 1000 + 6000


async def collect_start_messages(worker, grants: list[float | None]) -> list[Message]:
    """Return the messages on one start whose tries get the given leases in turn."""
    messages = []
    session = make_session(
        worker, tell=messages.append, grant_start=lambda *_: grants.pop(0)
    )
    session.order_start(ORDER)
    async with asyncio.timeout(10):
        while not messages:
            await asyncio.sleep(0.005)
    await session.close()
    return messages


async def test_a_start_that_may_not_be_sent_is_told_as_dropped():
    worker = RecordingWorker()
    messages = await collect_start_messages(worker, [None])
    assert messages == [StartDropped("w0", ORDER.task, ORDER.attempt)]
    assert not worker.starts


async def test_a_start_is_not_sent_again_once_it_is_not_wanted():
    worker = ScriptedWorker(Code.WORKER_SILENT, None)
    messages = await collect_start_messages(worker, [6.0, None])
    code = Code.WORKER_SILENT
    assert messages == [StartAnswer("w0", ORDER.task, ORDER.attempt, code, True)]
    assert worker.codes == [None]


class SilentAtFirstWorker:
    """Simulated worker that records calls and leaves the first one unanswered."""

    def __init__(self):
        self.calls = []

    async def renew(self, call):
        self.calls.append(call)
        await asyncio.sleep(0.005)
        if len(self.calls) == 1:
            return Failure(Problem(Code.WORKER_SILENT))
        return Success(WorkerReport(0, (), ()))


async def test_a_lease_is_not_renewed_after_silence_until_an_answer():
    # The unanswered renewal may have taken effect; a second one would extend the lease
    # beyond the time when the owner takes it as over.
    worker = SilentAtFirstWorker()
    session = make_session(worker)
    await session.start()
    async with asyncio.timeout(10):
        while len(worker.calls) < 3:
            await asyncio.sleep(0.005)
    await session.close()
    renewed = [call.lease_until_ms is not None for call in worker.calls[:3]]
    assert renewed == [True, False, True]


async def test_starts_that_wait_for_the_clock_share_one_report():
    idle_s = 600.0
    worker = RecordingWorker(clock_ms=int(idle_s * 1000))
    messages = []
    session = make_session(
        worker, tell=messages.append, clock=WorkerClock(0, read_monotonic_s() - idle_s)
    )
    for _ in range(3):
        session.order_start(ORDER)
    async with asyncio.timeout(10):
        while len(worker.starts) < 3:
            await asyncio.sleep(0.005)
    await session.close()
    assert sum(isinstance(message, ReportAnswer) for message in messages) == 1


async def test_a_worker_whose_clock_is_unknown_is_asked_without_a_wait():
    # Such a worker is off the list and only its address is known. No lease can be
    # granted without its clock, and the current lease would expire during a wait.
    worker = SilentAtFirstWorker()
    session = make_session(worker, clock=WorkerClock())
    await session.start()
    async with asyncio.timeout(10):
        while len(worker.calls) < 3:
            await asyncio.sleep(0.005)
    await session.close()
    assert [call.wait_ms for call in worker.calls[:2]] == [0, 0]
    assert worker.calls[0].lease_until_ms is None
    assert worker.calls[2].lease_until_ms is not None


class IntermittentWorker:
    """Simulated worker that answers all calls but the second and all stops."""

    def __init__(self):
        self.call_count = 0

    async def renew(self, call):
        self.call_count += 1
        await asyncio.sleep(0.005)
        if self.call_count == 2:
            return Failure(Problem(Code.WORKER_SILENT))
        return Success(WorkerReport(0, (), ()))

    async def stop_task(self, order):
        self.call_count += 1
        return Failure(Problem(Code.WORKER_SILENT))


@pytest.mark.parametrize(
    "call",
    [
        lambda session: session.probe(),
        lambda session: session.order_stop(StopTask("w0", ORDER.task, ORDER.attempt)),
    ],
    ids=["probe", "stop"],
)
async def test_an_idle_worker_that_missed_a_call_is_asked_until_it_answers(call):
    # Without further requests the worker stays silent and is assigned no tasks.
    messages = []
    worker = IntermittentWorker()
    session = make_session(worker, tell=messages.append)
    session.set_busy(False)
    await session.start()
    async with asyncio.timeout(10):
        while not messages:
            await asyncio.sleep(0.005)
        call(session)
        while len(messages) < 2:
            await asyncio.sleep(0.005)
        assert _get_code(messages[1]) is Code.WORKER_SILENT
        while len(messages) < 3:
            await asyncio.sleep(0.005)
    await session.close()
    assert isinstance(messages[2], ReportAnswer)
    assert isinstance(messages[2].result, Success)


def _get_code(message: Message) -> Code | None:
    match message:
        case ReportAnswer(_, _, Failure(problem)):
            return problem.code
        case StopAnswer(_, _, _, code):
            return code
    return None


class RestartingWorker:
    """Simulated worker that reports the ends in ``numbers`` and ``started_ms``."""

    def __init__(self):
        self.calls = []
        self.started_ms = 1000
        self.numbers = (1, 2)

    async def renew(self, call):
        self.calls.append(call)
        await asyncio.sleep(0.005)
        ended = tuple(
            EndedTask(number, "job.0.0.0", 1, EndKind.STOPPED, "")
            for number in self.numbers
        )
        return Success(WorkerReport(5, (), ended, started_ms=self.started_ms))


def acknowledge_reports(sessions: list, message: Message) -> None:
    """Acknowledge the ends in a report as the owner does."""
    match message:
        case ReportAnswer(_, _, Success(report)):
            number = max((ended.number for ended in report.ended), default=0)
            sessions[0].acknowledge(SeenEnds(report.started_ms, number))


async def wait_for_calls(worker: RestartingWorker, count: int) -> None:
    async with asyncio.timeout(10):
        while len(worker.calls) < count:
            await asyncio.sleep(0.005)


async def test_ends_of_a_restarted_worker_are_not_acknowledged_by_former_numbers():
    # A restarted worker would drop ends with these numbers before they are reported.
    worker, sessions, tokens = RestartingWorker(), [], iter(range(1, 1000))
    session = make_session(
        worker,
        tell=lambda message: acknowledge_reports(sessions, message),
        get_token=lambda: next(tokens),
    )
    sessions.append(session)
    await session.start()
    await wait_for_calls(worker, 4)
    worker.started_ms, worker.numbers = 2000, (1,)
    former_count = len(worker.calls)
    await wait_for_calls(worker, former_count + 4)
    session.acknowledge(SeenEnds(1000, 7))
    await wait_for_calls(worker, len(worker.calls) + 2)
    await session.close()
    assert {call.acknowledged for call in worker.calls[:former_count]} == {0, 2}
    later = [call for call in worker.calls if call.token > worker.calls[0].token]
    assert later
    assert {call.acknowledged for call in later} == {0, 1}


class StartLosingWorker(RestartingWorker):
    """Simulated worker that answers requests for reports but no starts."""

    async def start_task(self, order):
        return Failure(Problem(Code.WORKER_SILENT))


async def test_a_worker_that_left_a_call_unanswered_forgot_ends_nobody_had_seen():
    # The worker may have restarted since and use the same numbers for other ends.
    worker, counts = StartLosingWorker(), []

    def acknowledge_after_start(message: Message) -> None:
        if isinstance(message, StartAnswer):
            counts.append(len(worker.calls))
            session.acknowledge(SeenEnds(1000, 2))

    session = make_session(worker, tell=acknowledge_after_start, started_ms=1000)
    await session.start()
    await wait_for_calls(worker, 2)
    session.order_start(ORDER)
    async with asyncio.timeout(10):
        while not counts:
            await asyncio.sleep(0.005)
    await wait_for_calls(worker, counts[0] + 3)
    await session.close()
    later = [call.acknowledged for call in worker.calls[counts[0] :]]
    assert later[0] == 0
    assert 2 in later


async def test_a_restarted_worker_gets_no_call_before_the_token_has_increased():
    # Delayed calls to the former incarnation would act in the later one.
    worker, tokens = RestartingWorker(), [5]
    session = make_session(worker, get_token=lambda: tokens[0], started_ms=1000)
    await session.start()
    await wait_for_calls(worker, 1)
    worker.started_ms = 2000
    await asyncio.sleep(0.1)
    call_count = len(worker.calls)
    await asyncio.sleep(0.2)
    assert len(worker.calls) == call_count
    tokens[0] = 6
    await wait_for_calls(worker, call_count + 1)
    await session.close()
    assert [call.token for call in worker.calls[:call_count]] == [5] * call_count
    assert worker.calls[call_count].token == 6


class FencingWorker:
    """Simulated worker that restarts on a start and refuses the start as fenced."""

    def __init__(self):
        self.started_ms = 1000

    async def renew(self, call):
        await asyncio.sleep(0.005)
        return Success(WorkerReport(5, (), (), started_ms=self.started_ms))

    async def start_task(self, order):
        self.started_ms = 2000
        await asyncio.sleep(0.2)
        return Failure(Problem(Code.FENCED))


async def test_a_start_fenced_by_a_token_of_the_same_owner_does_not_end_the_tenure():
    # The owner gives up the tenure when a call is refused as fenced.
    messages = []
    tokens = iter(range(1, 1000))
    session = make_session(
        FencingWorker(),
        tell=messages.append,
        get_token=lambda: next(tokens),
        started_ms=1000,
    )
    await session.start()
    session.order_start(ORDER)
    async with asyncio.timeout(10):
        while not any(isinstance(message, StartAnswer) for message in messages):
            await asyncio.sleep(0.005)
    await session.close()
    (answer,) = [message for message in messages if isinstance(message, StartAnswer)]
    assert answer.code is Code.ORDER_TOO_LATE


class UnreachableWorker:
    """Simulated worker whose first call fails at once, later ones on ``times_out``."""

    def __init__(self):
        self.call_count = 0
        self.times_out = asyncio.Event()

    async def renew(self, call):
        self.call_count += 1
        if self.call_count > 1:
            await self.times_out.wait()
        return Failure(Problem(Code.WORKER_SILENT))


async def test_a_first_call_does_not_wait_for_calls_to_silent_workers():
    limits = CallLimits(asyncio.Semaphore(1), asyncio.Semaphore(1))
    unreachable, worker = UnreachableWorker(), SilentAtFirstWorker()
    silent = make_session(unreachable, limits=limits)
    await silent.start()
    async with asyncio.timeout(10):
        while unreachable.call_count < 2:
            await asyncio.sleep(0.005)
    session = make_session(worker, limits=limits)
    await session.start()
    async with asyncio.timeout(10):
        while not worker.calls:
            await asyncio.sleep(0.005)
    await session.close()
    await silent.close()


async def test_a_call_that_waits_for_its_turn_is_not_sent_to_a_later_incarnation():
    # Delayed calls to the former incarnation would act in the later one.
    limits = CallLimits(asyncio.Semaphore(0), asyncio.Semaphore(0))
    worker, tokens = RestartingWorker(), [5]
    session = make_session(
        worker, get_token=lambda: tokens[0], started_ms=1000, limits=limits
    )
    await session.start()
    await asyncio.sleep(0.05)
    worker.started_ms = 2000
    assert session.update_incarnation(2000)
    limits.prompt.release()
    await asyncio.sleep(0.1)
    assert worker.calls == []
    tokens[0] = 6
    await wait_for_calls(worker, 1)
    await session.close()
    assert worker.calls[0].token == 6


class LeavingWorker:
    """Simulated worker that lists an end in an answer that is lost.

    It answers the first call. The second is lost after a task has ended, or before if
    ``ends_task`` is False. It then answers again if ``stays``, else it has ended.
    """

    def __init__(self, *, ends_task: bool = True, stays: bool = False):
        self.calls = []
        self.written = []
        self._ends_task = ends_task
        self._stays = stays

    async def renew(self, call):
        self.calls.append(call)
        await asyncio.sleep(0.001)
        ended = EndedTask(1, ORDER.task, ORDER.attempt, EndKind.DONE, "")
        match len(self.calls):
            case 1:
                return Success(WorkerReport(0, (), ()))
            case 2:
                self.written += [ended] if self._ends_task else []
                return Failure(Problem(Code.WORKER_SILENT))
            case _ if self._stays:
                ends = (ended,) if call.acknowledged < 1 else ()
                return Success(WorkerReport(0, (), ends))
        return Failure(Problem(Code.WORKER_UNREACHABLE))


async def collect_reports(worker: LeavingWorker, count: int) -> list[ReportAnswer]:
    """Return the first messages of a session on the reports of a worker."""
    messages = []
    session = make_session(worker, tell=messages.append)
    await session.start()
    async with asyncio.timeout(10):
        while len(messages) < count:
            await asyncio.sleep(0.005)
    await session.close()
    return messages[:count]


async def test_an_end_in_a_lost_answer_is_listed_again_while_the_worker_stays():
    worker = LeavingWorker(stays=True)
    messages = await collect_reports(worker, 3)
    assert worker.written
    assert messages[2].result.unwrap().ended == tuple(worker.written)
    assert [call.acknowledged for call in worker.calls[:3]] == [0, 0, 0]


async def test_an_end_in_a_lost_answer_is_not_told_apart_from_no_end():
    # Therefore only what is done before the answer can keep the task from a second run.
    listed = LeavingWorker(ends_task=True)
    unlisted = LeavingWorker(ends_task=False)
    told = [await collect_reports(worker, 4) for worker in (listed, unlisted)]
    codes = [[_get_code(message) for message in messages] for messages in told]
    assert listed.written
    assert not unlisted.written
    assert codes[0] == codes[1]
    assert codes[0][1:] == [
        Code.WORKER_SILENT,
        Code.WORKER_UNREACHABLE,
        Code.WORKER_UNREACHABLE,
    ]
