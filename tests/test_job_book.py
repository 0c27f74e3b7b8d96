"""Check the state that the records of a job add up to."""

import pytest

from larkhoist.codes import Code
from larkhoist.jobs.book import JobBook, JobState
from larkhoist.jobs.records import (
    JobAccepted,
    JobCancelRequested,
    JobOutcome,
    PhaseId,
    PhaseProgress,
    TaskProgress,
    encode_job_record,
)
from larkhoist.jobs.spec import JobTerms, StagedJob, StepSpec
from larkhoist.ports.keyed_log import StoredRecord

JOB = StagedJob(
    "job", "queue", "ann", "text", (StepSpec(count=2),), JobTerms("service"), 5
)
ACCEPTED = JobAccepted(JOB)
CANCELLED = JobCancelRequested("job")
BEGUN = PhaseProgress(PhaseId("job", 0, 0), (TaskProgress(1, "w1"), TaskProgress()))


def fold(*records) -> JobBook:
    book = JobBook()
    for offset, record in enumerate(records):
        kept = encode_job_record(record)
        book.apply(StoredRecord(offset, kept.key, kept.value))
    return book


@pytest.mark.parametrize(
    ("records", "state"),
    [
        ((ACCEPTED,), JobState.WAITING),
        ((ACCEPTED, BEGUN), JobState.RUNNING),
        ((ACCEPTED, BEGUN, CANCELLED), JobState.CANCELLED),
        ((ACCEPTED, JobOutcome("job", Code.JOB_FINISHED, 9)), JobState.FINISHED),
        ((ACCEPTED, JobOutcome("job", Code.JOB_FAILED, 9)), JobState.FAILED),
        # What ended before the cancellation was seen has ended as it did.
        (
            (ACCEPTED, CANCELLED, JobOutcome("job", Code.JOB_FINISHED, 9)),
            JobState.FINISHED,
        ),
        # The newest records of keys come in any order.
        ((CANCELLED, BEGUN, ACCEPTED), JobState.CANCELLED),
    ],
)
def test_state(records, state):
    assert fold(*records).get("job").state is state


def test_a_job_that_was_not_accepted_is_not_shown():
    book = fold(CANCELLED, BEGUN)
    assert book.get("job") is None
    assert book.count_waiting("queue") == 0


def test_a_second_acceptance_changes_nothing():
    other = JobAccepted(StagedJob("job", "queue", "bob", "x", (), JobTerms("s"), 7))
    assert fold(ACCEPTED, other).get("job").job == JOB


def test_only_what_has_not_begun_counts_as_waiting():
    assert fold(ACCEPTED).count_waiting("queue") == 1
    assert fold(ACCEPTED).count_waiting("other") == 0
    assert fold(ACCEPTED, BEGUN).count_waiting("queue") == 0


def test_a_dropped_key_ends_the_entry():
    book = fold(ACCEPTED, BEGUN)
    book.apply(StoredRecord(2, "ajob", b""))
    assert book.get("job") is None


def test_a_record_that_cannot_be_read_is_passed_over():
    book = fold(ACCEPTED)
    assert book.apply(StoredRecord(1, "ajob", b"\xff")) is None
    assert book.get("job").job == JOB
