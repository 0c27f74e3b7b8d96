"""Check that some instance schedules while one of them can't."""

import asyncio
from dataclasses import replace

import pytest
from returns.result import Failure, Success

from larkhoist.codes import Code
from larkhoist.control.catalog_keeper import CONFIGURATION_STREAM
from larkhoist.control.roster_keeper import WORKER_STREAM
from larkhoist.control.scheduler_node import SchedulerNode, create_scheduler_node
from larkhoist.control.settings import FleetSettings
from larkhoist.jobs.catalog import Catalog
from larkhoist.jobs.records import PROGRESS_STREAM
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from larkhoist.ports.keyed_log import KeyedRecord
from larkhoist.ports.task_worker import LeaseCall, WorkerReport
from larkhoist.problem import Problem
from tests.control.memory_log import MemoryLog, PartialLog

CATALOG = Catalog(1, (), (), 1000)
LISTED = ListedTaskWorker(
    "w1",
    "srv",
    "address",
    "hall",
    "r1",
    frozenset(),
    Resources(8000, 8000, 4),
    leaving=False,
    remaining_s=None,
    clock_ms=1000,
)


class Worker:
    """Stand in for a worker that is idle; ``asked_s`` is when it was asked first."""

    def __init__(self):
        self.asked_s = float("inf")

    async def renew(self, call: LeaseCall):
        self.asked_s = min(self.asked_s, asyncio.get_running_loop().time())
        return Success(WorkerReport(1000, (), ()))


class Nodes:
    """Hold instances that share a log, each by a path of its own."""

    def __init__(self):
        self.log = MemoryLog()
        self.log.streams[CONFIGURATION_STREAM] = [KeyedRecord("config", b"1")]
        self.log.streams[WORKER_STREAM] = [KeyedRecord("w1", b"1")]
        self.worker = Worker()
        self.paths: dict[str, PartialLog] = {}
        self.nodes: dict[str, SchedulerNode] = {}

    async def add(self, name: str) -> SchedulerNode:
        path = self.paths[name] = PartialLog(self.log)
        node = self.nodes[name] = create_scheduler_node(
            FleetSettings(instance=name, hall="hall"),
            path,
            lambda record: CATALOG,
            lambda record: None,
            lambda record: LISTED,
            lambda name, address: self.worker,
        )
        await node.start()
        return node

    async def close(self) -> None:
        for node in self.nodes.values():
            await node.close()

    def list_acting(self) -> list[str]:
        """Return who has taken over and holds the tenure."""
        return [
            name
            for name, node in self.nodes.items()
            if node.term and node.owner is not None and node.owner.has_taken_over
        ]


@pytest.fixture
async def nodes():
    made = Nodes()
    yield made
    made.paths = {}
    await made.close()


async def test_a_take_over_that_does_not_end_gives_the_tenure_up(nodes):
    # An owner renewed its tenure by one task while its take-over waited for a stream
    # that it could not read. Nobody else may claim then, and nothing is started nor is
    # any lease renewed, for as long as that lasts:
    #     take-over-waits term=71 reason="210 LOG_UNAVAILABLE ..."
    #     tenure-gained term=71; take-over-done term=71, 4.9 s later
    first = await nodes.add("one")
    nodes.paths["one"].refused.add(PROGRESS_STREAM)
    async with asyncio.timeout(5):
        while not first.term:
            await asyncio.sleep(0.01)
    await nodes.add("two")
    async with asyncio.timeout(12):
        while nodes.list_acting() != ["two"]:
            await asyncio.sleep(0.01)


async def test_an_owner_begins_as_soon_as_it_has_taken_over(nodes):
    # Between a take-over and the first look at the workers lay 0.25 s in which the new
    # owner waited for something to happen, at each change of owner:
    #     tenure-gained +0.00, take-over-done +0.03, worker-listed +0.28
    node = await nodes.add("one")
    async with asyncio.timeout(5):
        while not nodes.list_acting():
            await asyncio.sleep(0.001)
    done_s = asyncio.get_running_loop().time()
    async with asyncio.timeout(5):
        while nodes.worker.asked_s == float("inf"):
            await asyncio.sleep(0.001)
    assert node.term
    assert nodes.worker.asked_s < done_s + 0.15


async def test_a_session_is_reopened_when_a_worker_restarts_at_another_address():
    # Guards against a session that keeps the former incarnation's address.
    log = MemoryLog()
    log.streams[CONFIGURATION_STREAM] = [KeyedRecord("config", b"1")]
    log.streams[WORKER_STREAM] = [KeyedRecord("w1", b"1")]
    addresses = []

    def decode_worker(record) -> ListedTaskWorker:
        if record.value == b"1":
            return replace(LISTED, started_ms=1000)
        return replace(LISTED, started_ms=2000, address="other")

    def create_port(name: str, address: str) -> Worker:
        addresses.append(address)
        return Worker()

    node = create_scheduler_node(
        FleetSettings(instance="one", hall="hall"),
        PartialLog(log),
        lambda record: CATALOG,
        lambda record: None,
        decode_worker,
        create_port,
    )
    await node.start()
    async with asyncio.timeout(5):
        while not addresses:
            await asyncio.sleep(0.01)
        log.streams[WORKER_STREAM].append(KeyedRecord("w1", b"2"))
        while len(addresses) < 2:
            await asyncio.sleep(0.01)
    await node.close()
    assert addresses == ["address", "other"]


class SharedProcessor:
    """Stand in for many idle workers whose calls share the owner's processor.

    Each call takes ``cost_s`` of it, one after the other, and is taken as lost if it is
    not done within ``timeout_s``.
    """

    def __init__(self, cost_s: float, timeout_s: float):
        self.heard: set[str] = set()
        self.lost = 0
        self._cost_s = cost_s
        self._timeout_s = timeout_s
        self._free_s = 0.0

    async def call(self, name: str):
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(self._free_s, now_s) + self._cost_s
        takes_s = self._free_s - now_s
        await asyncio.sleep(min(takes_s, self._timeout_s))
        if takes_s > self._timeout_s:
            self.lost += 1
            return Failure(Problem(Code.WORKER_SILENT))
        self.heard.add(name)
        return Success(WorkerReport(1000, (), ()))


class SharingWorker:
    """Stand in for one worker of a ``SharedProcessor``."""

    def __init__(self, name: str, processor: SharedProcessor):
        self._name = name
        self._processor = processor

    async def renew(self, call: LeaseCall):
        return await self._processor.call(self._name)


async def test_a_new_owner_loses_no_answer_of_thousands_of_workers():
    # A new owner called all workers at once. With 3,000 of them that was more than its
    # processor could do within the time-out of a call: most calls were taken as lost
    # and made again, each by a new connection, and the workers counted as silent.
    count = 3000
    log = MemoryLog()
    log.streams[CONFIGURATION_STREAM] = [KeyedRecord("config", b"1")]
    log.streams[WORKER_STREAM] = [KeyedRecord(f"w{i}", b"1") for i in range(count)]
    processor = SharedProcessor(cost_s=0.0005, timeout_s=0.7)
    node = create_scheduler_node(
        FleetSettings(instance="one", hall="hall"),
        PartialLog(log),
        lambda record: CATALOG,
        lambda record: None,
        lambda record: replace(LISTED, name=record.key, address=record.key),
        lambda name, address: SharingWorker(name, processor),
    )
    await node.start()
    async with asyncio.timeout(20):
        while len(processor.heard) < count:
            await asyncio.sleep(0.01)
    await node.close()
    assert processor.lost == 0
