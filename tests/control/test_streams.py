"""Check that records are appended exactly once and read in order."""

import asyncio

import pytest

from larkhoist.codes import Code
from larkhoist.control.stream_follower import StreamFollower
from larkhoist.control.stream_writer import (
    STALLED_S,
    StreamWriter,
    get_batch_limit,
)
from larkhoist.ports.keyed_log import KeyedRecord
from tests.control.memory_log import MemoryLog


class Sink:
    def __init__(self):
        self.values: list[bytes] = []
        self.replaced = 0

    def replace(self, records):
        self.replaced += 1
        self.values = [record.value for record in records]

    def apply(self, record):
        self.values.append(record.value)


@pytest.fixture
def log():
    return MemoryLog()


@pytest.fixture
async def writer(log):
    started = StreamWriter(log, "jobs", "one")
    await started.start()
    yield started
    await started.close()


def record(number: int) -> tuple[KeyedRecord, ...]:
    return (KeyedRecord(f"k{number}", str(number).encode()),)


async def wait_for(condition) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_lost_answer_is_settled_by_the_same_append(log, writer):
    log.lost_answer_count = 2
    assert await writer.commit(record(1)) is None
    assert len(log.streams["jobs"]) == 1
    assert log.appends == 3


async def test_records_that_wait_go_together(log, writer):
    log.down = True
    commits = [asyncio.create_task(writer.commit(record(n))) for n in range(5)]
    await wait_for(lambda: log.appends > 0)
    log.down = False
    assert await asyncio.gather(*commits) == [None] * 5
    assert [kept.key for kept in log.streams["jobs"]] == ["k0", "k1", "k2", "k3", "k4"]


async def commit_while_down(log, writer, *batches) -> None:
    """Commit each batch while the log is down, then bring the log back."""
    log.down = True
    commits = [asyncio.create_task(writer.commit(batch)) for batch in batches]
    await asyncio.sleep(0.01)
    log.down = False
    assert await asyncio.gather(*commits) == [None] * len(batches)


@pytest.mark.parametrize("is_refused", [False, True])
async def test_only_the_newest_record_of_a_key_is_sent(log, is_refused):
    # Guards against appends that grow with the time for which the log was slow. The
    # records of a refused batch are sent one entry at a time, the newest last.
    writer = StreamWriter(log, "jobs", "one", newest_only=True, max_batch_bytes=100)
    await writer.start()
    log.max_append_bytes = 60 if is_refused else 100
    pairs = [[("a", b"0"), ("b", b"0"), ("c", b"0")]]
    pairs += [[("a", bytes([n]) * 40), ("b", bytes([n]) * 20)] for n in range(9)]
    await commit_while_down(
        log, writer, *[tuple(KeyedRecord(*pair) for pair in batch) for batch in pairs]
    )
    await writer.close()
    kept = log.streams["jobs"]
    newest = {record.key: record.value for record in kept}
    assert newest == {"a": bytes([8]) * 40, "b": bytes([8]) * 20, "c": b"0"}
    assert is_refused or len(kept) == 3


async def test_a_stream_whose_history_is_read_gets_every_record(log, writer):
    # Guards against dropping the acceptance of a job that is cancelled at once.
    batches = [(KeyedRecord("k", bytes([n])),) for n in range(4)]
    await commit_while_down(log, writer, *batches)
    assert [kept.value for kept in log.streams["jobs"]] == [b"\0", b"\1", b"\2", b"\3"]


async def test_an_append_is_as_long_as_the_link_sends_in_time(log, caplog):
    # Guards against appends that take a link of 5 Mbit/s more than 0.2 s.
    assert get_batch_limit(1000.0) == 200_000
    assert get_batch_limit(5.0) == 125_000
    writer = StreamWriter(
        log, "jobs", "one", newest_only=True, max_batch_bytes=get_batch_limit(5.0)
    )
    await writer.start()
    log.max_append_bytes = 125_000
    big = tuple(KeyedRecord(f"k{n}", bytes(30_000)) for n in range(7))
    await commit_while_down(log, writer, big[:1], big[1:2], big[2:])
    await writer.close()
    assert "records-refused" not in caplog.text
    assert [kept.key for kept in log.streams["jobs"]] == [f"k{n}" for n in range(7)]


async def test_what_was_never_sent_is_withdrawn(log, writer):
    log.down = True
    first = asyncio.create_task(writer.commit(record(1), 0.5))
    await wait_for(lambda: log.appends > 0)
    second = await writer.commit(record(2), 0.05)
    assert second.code is Code.LOG_UNAVAILABLE
    assert second.retry_after_s > 0
    assert (await first).code is Code.APPEND_UNKNOWN
    log.down = False
    assert await writer.commit(record(3)) is None
    assert "k2" not in [kept.key for kept in log.streams["jobs"]]


async def test_a_writer_with_a_newer_epoch_fences_the_older_one(log):
    old = StreamWriter(log, "jobs", "owner", 1)
    new = StreamWriter(log, "jobs", "owner", 2)
    await old.start()
    assert await old.commit(record(1)) is None
    await new.fence()
    assert (await old.commit(record(2))).code is Code.FENCED
    assert old.fenced
    assert (await old.commit(record(3))).code is Code.FENCED
    await old.close()
    assert len(log.streams["jobs"]) == 1


async def test_a_follower_starts_from_the_newest_and_reads_on(log, writer):
    await writer.commit(record(1))
    sink = Sink()
    follower = StreamFollower(log, "jobs", sink, 0.01)
    assert await follower.catch_up(5)
    await writer.commit(record(2))
    assert await follower.catch_up(5)
    assert sink.values == [b"1", b"2"]
    assert follower.position == 2


async def test_a_follower_starts_anew_when_history_is_gone(log, writer):
    await writer.commit(record(1))
    sink = Sink()
    follower = StreamFollower(log, "jobs", sink, 0.01)
    await follower.start()
    await wait_for(lambda: sink.values == [b"1"])
    await follower.close()
    for number in range(2, 5):
        await writer.commit(record(number))
    log.first_offsets["jobs"] = 3
    assert not await follower.catch_up(5)
    assert await follower.catch_up(5)
    assert sorted(sink.values) == [b"1", b"2", b"3", b"4"]
    assert sink.replaced == 2


async def test_a_follower_without_an_answer_says_so(log):
    follower = StreamFollower(log, "jobs", Sink(), 0.01)
    log.down = True
    assert not await follower.catch_up(5)
    assert not follower.is_loaded


async def test_callers_are_refused_at_once_while_records_wait_for_long(log, writer):
    log.down = True
    owner = asyncio.create_task(writer.commit(record(1)))
    loop = asyncio.get_running_loop()
    await wait_for(lambda: writer.get_delay_s(loop.time()) > STALLED_S)
    async with asyncio.timeout(5):
        refused = await writer.commit(record(2), 60.0)
    assert refused.code is Code.LOG_UNAVAILABLE
    assert refused.retry_after_s > 0
    log.down = False
    assert await owner is None
    assert await writer.commit(record(3), 60.0) is None
    assert [kept.key for kept in log.streams["jobs"]] == ["k1", "k3"]


async def test_a_check_without_an_answer_ends_the_touch(log):
    follower = StreamFollower(log, "jobs", Sink(), 0.01)
    assert await follower.catch_up(5)
    assert follower.is_connected
    log.silent = True
    assert not await follower.catch_up(0.05)
    assert not follower.is_connected
    log.silent = False
    assert await follower.catch_up(5)
    assert follower.is_connected


async def test_checks_that_come_together_share_one_read(log, writer):
    await writer.commit(record(1))
    follower = StreamFollower(log, "jobs", Sink(), 0.01)
    assert await follower.catch_up(5)
    before = log.reads
    checks = [asyncio.create_task(follower.catch_up(5)) for _ in range(20)]
    await asyncio.sleep(0)
    late = asyncio.create_task(follower.catch_up(5))
    assert await asyncio.gather(*checks, late) == [True] * 21
    # The late check arrives after the first read has begun and needs a second one.
    assert log.reads - before <= 2


async def test_a_check_reads_what_was_written_before_it(log, writer):
    sink = Sink()
    follower = StreamFollower(log, "jobs", sink, 0.01)
    for number in range(1, 20):
        earlier_check = asyncio.create_task(follower.catch_up(5))
        await asyncio.sleep(0.0005 * (number % 4))
        await writer.commit(record(number))
        assert await follower.catch_up(5)
        assert sink.values[-1] == str(number).encode()
        await earlier_check


async def test_a_follower_says_what_holds_it_up(log, caplog, monkeypatch):
    monkeypatch.setattr(
        "larkhoist.control.stream_follower.READ_FAILURE_LOG_INTERVAL_S", 0.05
    )
    follower = StreamFollower(log, "jobs", Sink(), 0.01)
    log.down = True
    await follower.start()
    with caplog.at_level("INFO"):
        await wait_for(lambda: "stream-held-up" in caplog.text)
        log.down = False
        await wait_for(lambda: "stream-regained" in caplog.text)
    await follower.close()
    assert follower.is_loaded


async def test_a_writer_whose_sequence_the_log_does_not_want_begins_anew(log, writer):
    # Guards against a writer that repeats a rejected batch forever while callers wait.
    assert await writer.commit(record(1)) is None
    log.rejected_epochs.add(("one", 1))
    assert await writer.commit(record(2), timeout_s=5.0) is None
    assert [kept.key for kept in log.streams["jobs"]] == ["k1", "k2"]
    assert await writer.commit(record(3)) is None


async def test_a_term_whose_sequence_the_log_does_not_want_is_over(log):
    owner = StreamWriter(log, "jobs", "owner", 7, is_term=True)
    await owner.start()
    log.rejected_epochs.add(("owner", 7))
    problem = await owner.commit(record(1), timeout_s=5.0)
    await owner.close()
    assert problem.code is Code.FENCED
    assert owner.fenced


async def test_records_that_fill_several_appends_go_one_after_the_other(log, writer):
    # Guards against one append that exceeds the limit of the log and is refused and
    # repeated forever.
    log.max_append_bytes = 300_000
    big = tuple(KeyedRecord(f"k{n}", bytes(90_000)) for n in range(9))
    assert await writer.commit(big, timeout_s=5.0) is None
    assert [kept.key for kept in log.streams["jobs"]] == [f"k{n}" for n in range(9)]


async def test_a_record_that_the_log_refuses_for_itself_does_not_stop_the_others(
    log, writer
):
    log.max_append_bytes = 300_000
    log.down = True
    big = (KeyedRecord("big", bytes(400_000)),)
    commits = [
        asyncio.create_task(writer.commit(records, timeout_s=5.0))
        for records in (record(1), big, record(2))
    ]
    await wait_for(lambda: log.appends > 0)
    log.down = False
    problems = await asyncio.gather(*commits)
    assert [p and p.code for p in problems] == [None, Code.APPEND_REFUSED, None]
    assert await writer.commit(record(3), timeout_s=5.0) is None
    assert [kept.key for kept in log.streams["jobs"]] == ["k1", "k2", "k3"]


async def test_an_outage_ends_for_a_follower_as_soon_as_the_log_answers(log):
    # Guards against a follower whose first read after an outage waits for a record, so
    # that it notices the log's return only when that read ends. After an outage of
    # 1.2 s, instances were not ready for 1 s more: they refused callers and did not
    # claim a free tenure.
    follower = StreamFollower(log, "operators", Sink(), wait_s=30.0)
    await follower.start()
    await wait_for(lambda: follower.is_loaded)
    log.down = True
    await wait_for(lambda: not follower.is_connected)
    log.down = False
    async with asyncio.timeout(2):
        while not follower.is_connected:
            await asyncio.sleep(0.01)
    await follower.close()


async def test_the_end_of_an_outage_says_how_long_it_was(log, caplog):
    # Guards against lost_for_s=0.0 for every outage, which came from overwriting the
    # time of the loss when the log returned.
    follower = StreamFollower(log, "jobs", Sink(), 0.01)
    with caplog.at_level("INFO"):
        assert await follower.catch_up(5)
        log.down = True
        assert not await follower.catch_up(5)
        await asyncio.sleep(0.3)
        log.down = False
        assert await follower.catch_up(5)
    line = next(r for r in caplog.records if r.message == "stream-regained")
    assert 0.2 <= line.fields["lost_for_s"] <= 2.0


async def test_a_shorter_pause_ends_the_one_under_way(log, writer):
    # Instances pause for 0.8 s between reads of the jobs, the owner does not. Guards
    # against an instance that becomes the owner and still completes its current pause,
    # during which it misses newly accepted jobs.
    sink = Sink()
    follower = StreamFollower(log, "jobs", sink, 0.01, pause_s=30.0)
    await follower.start()
    await wait_for(lambda: follower.is_loaded)
    await writer.commit(record(1))
    await asyncio.sleep(0.05)
    follower.set_pause_s(0.0)
    await wait_for(lambda: sink.values == [b"1"])
    await follower.close()


async def test_a_closed_writer_refuses_records_at_once(log):
    # Guards against callers that wait for a writer that appends nothing any more.
    writer = StreamWriter(log, "jobs", "one")
    await writer.start()
    await writer.close()
    async with asyncio.timeout(1):
        refused = await writer.commit(record(1))
    assert refused.code is Code.LOG_UNAVAILABLE
    assert not log.streams


async def test_a_writer_that_closes_tells_what_was_never_sent(log, writer):
    # Guards against callers that don't learn that their records are not on the log.
    log.silent = True
    sent = asyncio.create_task(writer.commit(record(1)))
    await wait_for(lambda: log.appends == 1)
    waiting = asyncio.create_task(writer.commit(record(2)))
    await asyncio.sleep(0.01)
    await writer.close()
    async with asyncio.timeout(1):
        problems = [(await each).code for each in (sent, waiting)]
    assert problems == [Code.APPEND_UNKNOWN, Code.LOG_UNAVAILABLE]


async def test_a_check_ends_when_its_follower_closes(log):
    # Guards against calls that are cancelled with the read that they wait for.
    follower = StreamFollower(log, "jobs", Sink(), 0.05)
    await follower.start()
    await wait_for(lambda: follower.is_loaded)
    log.silent = True
    check = asyncio.create_task(follower.catch_up(5.0))
    await asyncio.sleep(0.05)
    await follower.close()
    async with asyncio.timeout(1):
        assert not await check
