"""Check the job states that JobBook derives from the records in the log."""

import pytest

from larkhoist.codes import Code
from larkhoist.jobs.book import JobBook, JobState
from larkhoist.jobs.records import (
    JobAccepted,
    JobBegun,
    JobCancelRequested,
    JobOutcome,
    PhaseId,
    PhaseProgress,
    TaskProgress,
    encode_job_record,
    make_closing_records,
    make_expiry_records,
)
from larkhoist.jobs.spec import JobTerms, StagedJob, StepSpec
from larkhoist.ports.keyed_log import StoredRecord

JOB = StagedJob(
    "job", "queue", "ann", "text", (StepSpec(count=2),), JobTerms("service"), 5
)
ACCEPTED = JobAccepted(JOB)
CANCELLED = JobCancelRequested("job")
BEGUN = JobBegun("job")
FINISHED = JobOutcome("job", Code.JOB_FINISHED, 9, "ann")
PHASE = PhaseId("job", 0, 0)
PROGRESS = PhaseProgress(PHASE, (TaskProgress(1, "w1"), TaskProgress()))


def build_book(*records) -> JobBook:
    book = JobBook()
    for offset, record in enumerate(records):
        encoded = encode_job_record(record)
        book.apply(StoredRecord(offset, encoded.key, encoded.value))
    return book


@pytest.mark.parametrize(
    ("records", "state"),
    [
        ((ACCEPTED,), JobState.WAITING),
        ((ACCEPTED, BEGUN), JobState.RUNNING),
        ((ACCEPTED, BEGUN, CANCELLED), JobState.CANCELLED),
        ((ACCEPTED, JobOutcome("job", Code.JOB_FINISHED, 9)), JobState.FINISHED),
        ((ACCEPTED, JobOutcome("job", Code.JOB_FAILED, 9)), JobState.FAILED),
        # A job that ends before the cancellation takes effect keeps its outcome.
        (
            (ACCEPTED, CANCELLED, JobOutcome("job", Code.JOB_FINISHED, 9)),
            JobState.FINISHED,
        ),
        # The newest records of different keys may arrive in any order.
        ((CANCELLED, BEGUN, ACCEPTED), JobState.CANCELLED),
    ],
)
def test_state(records, state):
    assert build_book(*records).get("job").state is state


def test_a_job_that_was_not_accepted_is_not_shown():
    book = build_book(CANCELLED, BEGUN)
    assert book.get("job") is None
    assert book.count_waiting("queue") == 0


def test_a_second_acceptance_changes_nothing():
    other = JobAccepted(StagedJob("job", "queue", "bob", "x", (), JobTerms("s"), 7))
    assert build_book(ACCEPTED, other).get("job").job == JOB


def test_only_what_has_not_begun_counts_as_waiting():
    assert build_book(ACCEPTED).count_waiting("queue") == 1
    assert build_book(ACCEPTED).count_waiting("other") == 0
    assert build_book(ACCEPTED, BEGUN).count_waiting("queue") == 0


def test_a_dropped_key_ends_the_entry():
    book = build_book(ACCEPTED, BEGUN)
    book.apply(StoredRecord(2, "ajob", b""))
    assert book.get("job") is None


def test_a_record_that_cannot_be_read_is_passed_over():
    book = build_book(ACCEPTED)
    assert book.apply(StoredRecord(1, "ajob", b"\xff")) is None
    assert book.get("job").job == JOB


def apply_records(book, encoded_records) -> None:
    for encoded in encoded_records:
        book.apply(StoredRecord(9, encoded.key, encoded.value))


def test_of_an_ended_job_the_outcome_is_kept():
    book = build_book(ACCEPTED, BEGUN, FINISHED)
    apply_records(book, make_closing_records("job"))
    entry = book.get("job")
    assert entry.state is JobState.FINISHED
    assert entry.customer == "ann"
    assert entry.job is None


def test_an_ended_job_that_is_sent_again_stays_ended():
    book = build_book(ACCEPTED, FINISHED)
    apply_records(book, make_closing_records("job"))
    book.apply(StoredRecord(9, "ajob", encode_job_record(ACCEPTED).value))
    assert book.get("job").state is JobState.FINISHED
    assert book.count_waiting("queue") == 0


def test_nothing_is_kept_of_a_job_that_expired():
    book = build_book(ACCEPTED, FINISHED)
    assert book.list_expired(9) == []
    assert book.list_expired(10) == ["job"]
    apply_records(book, make_expiry_records("job"))
    assert book.entries == {}


def test_progress_replaces_what_was_known_of_it():
    book = build_book(ACCEPTED)
    encoded = encode_job_record(PROGRESS)
    other = encode_job_record(PhaseProgress(PhaseId("gone", 0, 0), ()))
    records = [StoredRecord(1, r.key, r.value) for r in (encoded, other)]
    assert book.take_progress(records) == [PhaseId("gone", 0, 0)]
    assert book.get("job").phases == {PHASE: PROGRESS}
    assert list(book.entries) == ["job"]
    book.take_progress([])
    assert book.get("job").phases == {}
