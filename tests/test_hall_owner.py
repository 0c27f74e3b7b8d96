"""Check that a new hall owner takes over the gangs in the workers' reports.

The failure: an owner dies while a gang runs on two workers. The same round of answers
brings its successor both leases and the reports of the gang. If the successor drops
these reports because it has no scheduler yet, it holds every lease, considers the
tenure settled and treats the gang as gone: a repeatable gang is placed again while its
first attempt runs, and any other gang is ended as lost while it runs.
"""

import asyncio

import pytest

from larkhoist.daemon.hall_owner import HallOwner
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.worker_link import LeaseAnswer
from larkhoist.log.objects import JobSpec
from larkhoist.log.records import JobPlaced
from larkhoist.log.state import JobEntry, JobState
from larkhoist.ownership.tenure import LeaseTerms
from larkhoist.ports.platform import Instance, InstanceList
from larkhoist.ports.worker import LeaseReply, TaskReport, TaskState, Verb
from larkhoist.scheduling.hall_job import JobPhase
from larkhoist.scheduling.policy import SchedulingPolicy

NAMES = ("w0", "w1")
EPOCH = 1


class RecordingLink:
    """A link to a worker that records the commands sent."""

    def __init__(self):
        self.sent = []

    def send(self, command):
        self.sent.append(command)

    async def close(self):
        pass


class RecordingWriter:
    """A log writer that records what would be appended."""

    def __init__(self):
        self.records = []

    def add(self, record):
        self.records.append(record)


class LogFollower:
    """A log follower that is up to date at once, or not at all."""

    def __init__(self, current):
        self.current = current

    async def catch_up(self):
        return self.current


def add_job_to_state(keeper, repeatable, state=JobState.PLACED):
    """Add the gang to the state read from the log."""
    job = JobSpec("job", "ann", members=2, accelerators=8, repeatable=repeatable)
    workers = NAMES if state is JobState.PLACED else ()
    keeper.state.next_offset += 5
    keeper.state.jobs["job"] = JobEntry(job, 0, state, "h", attempt=1, workers=workers)


def make_owner(repeatable, log_current, writer):
    """Return a candidate owner of a hall in which the log has a running gang."""
    keeper = StateKeeper(10)
    add_job_to_state(keeper, repeatable)
    return make_owner_with_state(keeper, LogFollower(log_current), writer)


def make_owner_with_state(keeper, follower, writer):
    """Return a candidate owner of a hall with this state of the log."""
    owner = HallOwner(
        "i0/1",
        "h",
        LeaseTerms(),
        SchedulingPolicy(),
        keeper,
        writer,
        follower,
        0.1,
        lambda: True,
    )
    workers = tuple(
        Instance("worker", name, "h", f"{name}:1", rack="r0", accelerators=8)
        for name in NAMES
    )
    owner.set_instances(InstanceList(1, workers))
    owner._links = {name: RecordingLink() for name in NAMES}
    return owner


def make_answer(name, now_s, tasks):
    reply = LeaseReply(True, "i0/1", EPOCH, 3.0, tasks)
    return LeaseAnswer(name, EPOCH, now_s, reply)


@pytest.mark.parametrize(
    ("repeatable", "log_current"), [(True, False), (True, True), (False, True)]
)
async def test_a_gang_in_the_reports_that_bring_the_majority_runs_on(
    repeatable, log_current
):
    writer = RecordingWriter()
    owner = make_owner(repeatable, log_current, writer)
    links = list(owner._links.values())
    now_s = asyncio.get_running_loop().time()
    owner.tenure.begin(now_s)
    for index, name in enumerate(NAMES):
        task = TaskReport("job", 1, index, TaskState.RUNNING, 255, 1.0)
        owner._inbox.append(make_answer(name, now_s, (task,)))
    await owner._tick(now_s)
    await asyncio.sleep(0.01)
    await owner._tick(now_s + 0.1)
    job = owner.scheduler.jobs["job"]
    await owner.close()
    assert writer.records == [JobPlaced("job", "h", 1, NAMES)]
    assert [link.sent for link in links] == [[], []]
    assert job.phase is JobPhase.ACTIVE
    assert {place.worker for place in job.current.get_places()} == set(NAMES)


async def test_a_gang_that_no_worker_reports_is_placed_anew():
    # The opposite case: both workers answer in this tenure and run nothing.
    writer = RecordingWriter()
    owner = make_owner(True, False, writer)
    now_s = asyncio.get_running_loop().time()
    owner.tenure.begin(now_s)
    for name in NAMES:
        owner._inbox.append(make_answer(name, now_s, ()))
    await owner._tick(now_s)
    await owner.close()
    assert "JobRequeued" in [type(record).__name__ for record in writer.records]


async def test_a_report_given_before_the_majority_counts_as_long_as_the_lease():
    # One worker answers a second before the other. Half of the leases is no majority;
    # when the second answer completes it, the first report must still count.
    writer = RecordingWriter()
    owner = make_owner(True, False, writer)
    now_s = asyncio.get_running_loop().time()
    owner.tenure.begin(now_s)
    for index, name in enumerate(NAMES):
        task = TaskReport("job", 1, index, TaskState.RUNNING, 255, 1.0)
        owner._inbox.append(make_answer(name, now_s + index, (task,)))
        await owner._tick(now_s + index)
    job = owner.scheduler.jobs["job"]
    await owner.close()
    assert writer.records == [JobPlaced("job", "h", 1, NAMES)]
    assert job.phase is JobPhase.ACTIVE


@pytest.mark.parametrize(
    ("repeatable", "state"),
    [
        (True, JobState.PLACED),
        (False, JobState.PLACED),
        # A repeatable job starts before the log says that it was placed.
        (True, JobState.CLAIMED),
    ],
)
async def test_a_gang_that_the_log_tells_of_after_the_majority_runs_on(
    repeatable, state
):
    # The successor has not yet read the job from the log when it gains the majority.
    # If it treats the job as one that has never run when the log brings it later, it
    # prepares the same attempt again while that runs.
    writer = RecordingWriter()
    keeper = StateKeeper(10)
    follower = LogFollower(False)
    owner = make_owner_with_state(keeper, follower, writer)
    links = list(owner._links.values())
    now_s = asyncio.get_running_loop().time()
    owner.tenure.begin(now_s)
    for _ in range(3):
        for index, name in enumerate(NAMES):
            task = TaskReport("job", 1, index, TaskState.RUNNING, 255, 1.0)
            owner._inbox.append(make_answer(name, now_s, (task,)))
        await owner._tick(now_s)
        await asyncio.sleep(0.01)
        now_s += 1.1
    add_job_to_state(keeper, repeatable, state)
    follower.current = True
    for index, name in enumerate(NAMES):
        task = TaskReport("job", 1, index, TaskState.RUNNING, 255, 1.0)
        owner._inbox.append(make_answer(name, now_s, (task,)))
    for _ in range(3):
        await owner._tick(now_s)
        await asyncio.sleep(0.01)
        now_s += 0.6
    job = owner.scheduler.jobs["job"]
    await owner.close()
    assert [link.sent for link in links] == [[], []]
    assert writer.records == [JobPlaced("job", "h", 1, NAMES)]
    assert job.phase is JobPhase.ACTIVE


async def test_a_job_that_comes_once_the_log_was_read_is_placed_at_once():
    # The opposite case: a job that is added to the log after it was read to its end in
    # this tenure cannot have run under an earlier owner.
    keeper = StateKeeper(10)
    owner = make_owner_with_state(keeper, LogFollower(True), RecordingWriter())
    links = list(owner._links.values())
    now_s = asyncio.get_running_loop().time()
    owner.tenure.begin(now_s)
    for name in NAMES:
        owner._inbox.append(make_answer(name, now_s, ()))
    for _ in range(2):
        await owner._tick(now_s)
        await asyncio.sleep(0.01)
        now_s += 0.1
    add_job_to_state(keeper, False, JobState.CLAIMED)
    await owner._tick(now_s)
    await owner.close()
    assert [c.verb for link in links for c in link.sent] == [Verb.PREPARE] * 2
