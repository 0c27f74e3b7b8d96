"""Check that start orders leave a slow link to other calls and keep their sequence."""

import asyncio
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from larkhoist.codes import Code
from larkhoist.control.fleet_owner import FleetOwner
from larkhoist.control.start_limit import MIN_ORDERS, create_start_limit
from larkhoist.control.worker_session import CallLimits, StartDropped, WorkerSession
from larkhoist.fleet.effects import StartTask
from larkhoist.ports.task_worker import LeaseCall, WorkerReport
from larkhoist.problem import Problem
from tests.control.test_worker_session import make_session

SLOW_MBPS = 5.0
CALL_TIMEOUT_S = 0.7
GANG_START_S = 4.0
PAYLOAD = "x" * 2000


class SlowLink:
    """Simulated link of ``SLOW_MBPS`` that sends one message after another."""

    def __init__(self):
        self._free_s = 0.0

    async def send(self, size: int) -> None:
        """Return once a message and all earlier ones have been sent."""
        loop = asyncio.get_running_loop()
        self._free_s = max(self._free_s, loop.time()) + size * 8 / (SLOW_MBPS * 1e6)
        sent = loop.create_future()
        # A sleep is counted from a later time, so that messages could change places.
        loop.call_at(self._free_s, _end, sent)
        await sent


def _end(sent: asyncio.Future) -> None:
    if not sent.done():
        sent.set_result(None)


class LinkedWorker:
    """Simulated worker behind a shared link; lists arrivals as (time, task).

    It answers no starts of the tasks in ``lost``.
    """

    def __init__(self, link: SlowLink, arrivals: list, lost: set[str] = frozenset()):
        self._link = link
        self._arrivals = arrivals
        self._lost = set(lost)
        self.start_count = 0

    async def start_task(self, order):
        self.start_count += 1
        if order.task in self._lost:
            self._lost.discard(order.task)
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Failure(Problem(Code.WORKER_SILENT))
        await self._link.send(len(order.payload) + 400)
        self._arrivals.append((asyncio.get_running_loop().time(), order.task))
        return Success(0)

    async def renew(self, call):
        await self._link.send(200)
        return Success(WorkerReport(0, (), ()))


def make_limits() -> CallLimits:
    return CallLimits(starts=create_start_limit(SLOW_MBPS))


def make_sessions(count: int, limits, arrivals, lost=frozenset(), **kwargs):
    link = SlowLink()
    workers = [LinkedWorker(link, arrivals, lost) for _ in range(count)]
    return workers, [make_session(w, limits=limits, **kwargs) for w in workers]


def order_starts(sessions: list[WorkerSession], tasks: list[str]) -> None:
    for index, task in enumerate(tasks):
        order = StartTask("w0", task, 1, PAYLOAD, "")
        sessions[index % len(sessions)].order_start(order)


async def wait_until(condition) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def close_all(sessions: list[WorkerSession]) -> None:
    await asyncio.gather(*(session.close() for session in sessions))


async def test_a_report_in_the_middle_of_a_burst_of_starts_is_answered_in_time():
    # A burst of 494 starts filled the link for 1.6 s; calls behind it timed out.
    arrivals = []
    workers, sessions = make_sessions(176, make_limits(), arrivals)
    tasks = [f"job.0.0.{index}" for index in range(494)]
    order_starts(sessions, tasks)
    await wait_until(lambda: len(arrivals) > 100)
    async with asyncio.timeout(CALL_TIMEOUT_S):
        await workers[0].renew(LeaseCall(1, 0))
    assert len(arrivals) < len(tasks)
    await wait_until(lambda: len(arrivals) == len(tasks))
    await close_all(sessions)
    assert [task for _, task in arrivals] == tasks


async def test_members_of_a_gang_go_out_together_though_one_is_repeated():
    # A retry behind a burst would arrive after the members that wait for it gave up.
    gang = [f"gang.0.0.{index}" for index in range(60)]
    tasks = [f"job.0.0.{index}" for index in range(900)]
    arrivals = []
    _, sessions = make_sessions(88, make_limits(), arrivals, lost={gang[30]})
    order_starts(sessions, gang + tasks)
    await wait_until(lambda: gang[30] in [task for _, task in arrivals])
    await close_all(sessions)
    others = [task for _, task in arrivals if task != gang[30]]
    assert others[: len(gang) - 1] == [task for task in gang if task != gang[30]]
    times_s = [time_s for time_s, task in arrivals if task in gang]
    assert max(times_s) - min(times_s) < min(GANG_START_S, 1.5)


async def test_a_start_that_waited_is_checked_again_before_it_is_sent():
    # Its job may have been cancelled, or its worker given up, while it waited.
    arrivals, messages, revoked = [], [], set()
    _, sessions = make_sessions(
        1,
        make_limits(),
        arrivals,
        tell=messages.append,
        grant_start=lambda order, _: None if order.task in revoked else 6.0,
    )
    tasks = [f"job.0.0.{index}" for index in range(100)]
    order_starts(sessions, tasks)
    await asyncio.sleep(0)
    revoked.add(tasks[-1])
    await wait_until(lambda: len(messages) == len(tasks))
    await close_all(sessions)
    assert StartDropped("w0", tasks[-1], 1) in messages
    assert [task for _, task in arrivals] == tasks[:-1]


async def test_orders_that_wait_are_dropped_once_the_tenure_is_lost():
    # A task whose order waits for ever would count as starting as long.
    arrivals, messages, leases_s = [], [], [6.0] * 40
    _, sessions = make_sessions(
        1,
        make_limits(),
        arrivals,
        tell=messages.append,
        grant_start=lambda *_: leases_s.pop() if leases_s else None,
    )
    order_starts(sessions, [f"job.0.0.{index}" for index in range(494)])
    async with asyncio.timeout(1.0):
        await wait_until(lambda: len(messages) == 494)
    await close_all(sessions)
    assert sum(isinstance(message, StartDropped) for message in messages) == 454
    assert len(arrivals) == 40


async def test_orders_without_answers_do_not_hold_others_up():
    # The workers of a hall that is cut off would hold the limit for a time-out each.
    arrivals = []
    lost = [f"lost.0.0.{index}" for index in range(165)]
    _, sessions = make_sessions(176, make_limits(), arrivals, lost=set(lost))
    began_s = asyncio.get_running_loop().time()
    order_starts(sessions, [*lost, "job.0.0.0"])
    await wait_until(lambda: "job.0.0.0" in [task for _, task in arrivals])
    await close_all(sessions)
    assert asyncio.get_running_loop().time() - began_s < 2.0


async def test_orders_of_a_closed_session_hold_no_others_up():
    # A closed session never answers for its orders, whether they wait or were sent.
    limits, arrivals = make_limits(), []
    _, closed = make_sessions(1, limits, arrivals, lost={"job.0.0.0"})
    _, others = make_sessions(1, limits, arrivals)
    order_starts(closed, [f"job.0.0.{index}" for index in range(200)])
    order_starts(others, ["other.0.0.0"])
    await close_all(closed)
    arrivals.clear()
    async with asyncio.timeout(0.15):
        await wait_until(lambda: arrivals)
    await close_all(others)
    assert [task for _, task in arrivals] == ["other.0.0.0"]


class Component:
    """Simulated component of an owner."""

    async def close(self):
        pass


def make_owner(sessions: list[WorkerSession]) -> SimpleNamespace:
    """Return what ``FleetOwner.close`` uses of an owner."""
    return SimpleNamespace(
        term=1,
        _task=None,
        _background_tasks=set(),
        _sessions=dict(enumerate(sessions)),
        _writer=Component(),
        _progress_writer=Component(),
        _roster_follower=Component(),
        _lag_monitor=Component(),
    )


async def test_an_owner_that_closes_sends_none_of_the_orders_that_wait():
    # The next owner would find tasks that started after it had read the progress.
    arrivals = []
    workers, sessions = make_sessions(50, make_limits(), arrivals)
    order_starts(sessions, [f"job.0.0.{index}" for index in range(494)])
    await wait_until(lambda: arrivals)
    owner = make_owner(sessions)
    sent_count = sum(worker.start_count for worker in workers)
    async with asyncio.timeout(5):
        await FleetOwner.close(owner)
    await asyncio.sleep(0.3)
    assert sum(worker.start_count for worker in workers) == sent_count


@pytest.mark.parametrize("has_task", [False, True], ids=["idle", "deciding"])
async def test_an_owner_that_closes_sends_no_order_before_its_sessions_close(has_task):
    # Guards against orders that go out in the turns of the loop in between.
    workers, sessions = make_sessions(50, make_limits(), [])
    order_starts(sessions, [f"job.0.0.{index}" for index in range(494)])
    owner = make_owner(sessions)
    if has_task:
        owner._task = asyncio.create_task(asyncio.sleep(60))
    async with asyncio.timeout(5):
        await FleetOwner.close(owner)
    await asyncio.sleep(0.1)
    assert not sum(worker.start_count for worker in workers)


@pytest.mark.parametrize(("mbps", "count"), [(0.1, MIN_ORDERS), (5.0, 31)])
async def test_the_limit_follows_the_bandwidth(mbps, count):
    limit = create_start_limit(mbps)
    turns = [limit.enqueue(2000) for _ in range(100)]
    assert sum(turn.granted.is_set() for turn in turns) == count
    for turn in turns:
        limit.end(turn)


async def test_the_limit_is_not_reached_on_a_fast_link():
    limit = create_start_limit(1000.0)
    turns = [limit.enqueue(2400) for _ in range(494)]
    assert all(turn.granted.is_set() for turn in turns)
    for turn in turns:
        limit.end(turn)
