"""Check which callers may know of a job, and what the others are told."""

import asyncio

import pytest
from returns.result import Success

from larkhoist.codes import Code
from larkhoist.control.catalog_keeper import CONFIGURATION_STREAM, CatalogKeeper
from larkhoist.control.job_operations import JobOperations, JobOperationTimes, Permit
from larkhoist.control.stream_follower import StreamFollower
from larkhoist.control.stream_writer import StreamWriter
from larkhoist.jobs.access import find_refusal
from larkhoist.jobs.catalog import Catalog, CustomerAccount, JobQueue
from larkhoist.jobs.records import JOB_STREAM, JobOutcome, encode_job_record
from larkhoist.jobs.registry import JobRegistry, JobState, StagedJobEntry
from larkhoist.jobs.spec import JobTerms, StagedJob, StepSpec
from larkhoist.ports.keyed_log import KeyedRecord
from tests.control.memory_log import MemoryLog
from tests.fleet.cases import make_job as make_fleet_job
from tests.fleet.cases import make_machine

ID = "00000000000000aa"


def make_queue(name: str, *, public: bool) -> JobQueue:
    return JobQueue(name, "host", f"/{name}/", "srv", 0, 2, 1.5, 250, 3.0, public)


PRIVATE = make_queue("private", public=False)
PUBLIC = make_queue("public", public=True)
OTHER_PUBLIC = make_queue("other", public=True)
ANN = CustomerAccount("ann", frozenset({"key-a", "second-key-a"}), 8)
BOB = CustomerAccount("bob", frozenset({"key-b"}), 8)
CATALOG = Catalog(1, (PRIVATE, PUBLIC, OTHER_PUBLIC), (ANN, BOB), 1000)


def make_job(queue: JobQueue, customer: str) -> StagedJob:
    terms = JobTerms("srv")
    return StagedJob(ID, queue.name, customer, "text", (StepSpec(1),), terms, 0)


def make_ended(queue: str, customer: str) -> StagedJobEntry:
    outcome = JobOutcome(ID, Code.JOB_FINISHED, 9, customer, queue)
    return StagedJobEntry(outcome=outcome)


@pytest.mark.parametrize(
    ("queue", "customer", "asked_queue", "asking", "refusal"),
    [
        ("private", "ann", "private", "ann", None),
        ("private", "ann", "public", "ann", None),
        ("private", "ann", "private", "bob", Code.NOT_YOURS),
        ("private", "ann", "public", "bob", Code.JOB_UNKNOWN),
        ("private", "ann", "public", "", Code.JOB_UNKNOWN),
        ("public", "ann", "public", "", None),
        ("public", "ann", "public", "ann", None),
        ("public", "ann", "public", "bob", Code.NOT_YOURS),
        ("public", "ann", "other", "", Code.JOB_UNKNOWN),
        ("public", "", "public", "", None),
        ("public", "", "public", "bob", None),
        ("public", "", "other", "", Code.JOB_UNKNOWN),
        ("public", "", "private", "bob", Code.JOB_UNKNOWN),
    ],
)
def test_a_job_is_known_to_its_customer_and_on_its_queue(
    queue, customer, asked_queue, asking, refusal
):
    queues = {one.name: one for one in CATALOG.queues}
    entries = (
        StagedJobEntry(make_job(queues[queue], customer)),
        make_ended(queue, customer),
    )
    for entry in entries:
        assert find_refusal(entry, asked_queue, asking) is refusal


def test_an_outcome_that_names_no_queue_is_shown_to_its_customer_alone():
    ended = make_ended("", "ann")
    assert find_refusal(ended, "public", "ann") is None
    assert find_refusal(ended, "public", "") is Code.JOB_UNKNOWN
    assert find_refusal(make_ended("", ""), "public", "") is None


class Site:
    """Job operations on a log with a private and two public queues."""

    def __init__(self):
        log = MemoryLog()
        log.streams[CONFIGURATION_STREAM] = [KeyedRecord("config", b"1")]
        catalog = CatalogKeeper(lambda record: CATALOG)
        self.catalog_follower = StreamFollower(log, CONFIGURATION_STREAM, catalog, 0.01)
        self.registry = JobRegistry()
        self.book_follower = StreamFollower(log, JOB_STREAM, self.registry, 0.01)
        self.writer = StreamWriter(log, JOB_STREAM, "one")
        self.operations = JobOperations(
            catalog,
            self.catalog_follower,
            self.registry,
            self.book_follower,
            self.writer,
            JobOperationTimes(check_s=1.0),
        )

    async def admit(self, queue: JobQueue, key: str) -> Permit:
        now_s = asyncio.get_running_loop().time()
        path = queue.prefix + ID
        return (await self.operations.admit("host", path, key, now_s)).unwrap()


@pytest.fixture
async def site():
    made = Site()
    await made.writer.start()
    assert await made.catalog_follower.catch_up(5)
    yield made
    await made.writer.close()


@pytest.mark.parametrize("key", ["", "key-never-held"])
@pytest.mark.parametrize("ended", [False, True])
async def test_a_public_queue_gives_no_access_to_private_jobs(site, key, ended):
    # Guards against a caller without a valid key that reads and cancels such a job.
    assert await site.operations.submit(make_job(PRIVATE, "ann"), 1.0) is None
    if ended:
        outcome = JobOutcome(ID, Code.JOB_FINISHED, 9, "ann", "private")
        await site.writer.commit((encode_job_record(outcome),))
        await site.book_follower.catch_up(1)
    now_s = asyncio.get_running_loop().time()
    stranger = await site.admit(PUBLIC, key)
    read = await site.operations.get_state(ID, stranger, now_s)
    assert read.failure().code is Code.JOB_UNKNOWN
    cancelled = await site.operations.cancel(ID, stranger, now_s, 1.0)
    assert cancelled.code is Code.JOB_UNKNOWN
    repeated = await site.operations.submit(make_job(PUBLIC, ""), 1.0)
    assert repeated.code is Code.NOT_YOURS
    for its_key in ANN.credentials:
        owner = await site.admit(PRIVATE, its_key)
        state = JobState.FINISHED if ended else JobState.WAITING
        assert await site.operations.get_state(ID, owner, now_s) == Success(state)


def test_an_outcome_names_the_queue_of_its_job():
    job = make_fleet_job(1, StepSpec(1, cpu_milli=1000))
    machine = make_machine(1, (job,), work_s=0.3)
    machine.submit(job)
    machine.run(3)
    assert machine.registry.get(job.job_id).outcome.queue == job.queue
