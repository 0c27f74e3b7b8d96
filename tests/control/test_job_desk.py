"""Check the answers to callers while the log does not answer."""

import asyncio

import pytest
from returns.result import Failure

from larkhoist.codes import Code
from larkhoist.control.catalog_keeper import CONFIGURATION_STREAM, CatalogKeeper
from larkhoist.control.job_operations import JobOperations, JobOperationTimes
from larkhoist.control.stream_follower import StreamFollower
from larkhoist.control.stream_writer import StreamWriter
from larkhoist.jobs.catalog import Catalog, JobQueue
from larkhoist.jobs.records import JOB_STREAM
from larkhoist.jobs.registry import JobRegistry
from larkhoist.ports.keyed_log import KeyedRecord
from tests.control.memory_log import MemoryLog

HOST, PATH = "job.example", "/queue/"
QUEUE = JobQueue("queue", HOST, PATH, "srv", 0, 2, 1.5, 250, 3.0, True)
CATALOG = Catalog(1, (QUEUE,), (), 1000)


class JobOperationsSetup:
    """Job operations on a log whose one configuration has a public queue."""

    def __init__(self, check_s: float):
        self.log = MemoryLog()
        self.log.streams[CONFIGURATION_STREAM] = [KeyedRecord("config", b"1")]
        catalog = CatalogKeeper(lambda record: CATALOG)
        self.catalog_follower = StreamFollower(
            self.log, CONFIGURATION_STREAM, catalog, 0.01
        )
        registry = JobRegistry()
        follower = StreamFollower(self.log, JOB_STREAM, registry, 0.01)
        writer = StreamWriter(self.log, JOB_STREAM, "one")
        self.job_operations = JobOperations(
            catalog,
            self.catalog_follower,
            registry,
            follower,
            writer,
            JobOperationTimes(check_s=check_s),
        )

    async def admit(self, path: str = PATH):
        now_s = asyncio.get_running_loop().time()
        return await self.job_operations.admit(HOST, path, "", now_s)


@pytest.fixture
async def made():
    setup = JobOperationsSetup(check_s=0.05)
    assert await setup.catalog_follower.catch_up(5)
    return setup


async def test_a_silent_log_holds_one_caller_and_refuses_the_next_at_once(made):
    assert (await made.admit()).unwrap().queue is QUEUE
    made.log.silent = True
    match await made.admit("/elsewhere/"):
        case Failure(problem):
            assert problem.code is Code.NOT_READY
    # The follower has lost the log. A second check would exceed the limit below.
    made.job_operations._times = JobOperationTimes(check_s=1000.0)
    async with asyncio.timeout(5):
        refused = await made.admit("/elsewhere/")
    assert refused.failure().code is Code.NOT_READY
    assert refused.failure().retry_after_s > 0
    made.log.silent = False
    assert await made.catalog_follower.catch_up(5)
    assert (await made.admit("/elsewhere/")).failure().code is Code.NOT_FOUND
