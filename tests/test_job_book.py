"""Check the job states that JobRegistry derives from the records in the log."""

import pytest

from larkhoist.codes import Code
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
from larkhoist.jobs.registry import JobRegistry, JobState
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


def build_book(*records) -> JobRegistry:
    registry = JobRegistry()
    for offset, record in enumerate(records):
        encoded = encode_job_record(record)
        registry.apply(StoredRecord(offset, encoded.key, encoded.value))
    return registry


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
    registry = build_book(CANCELLED, BEGUN)
    assert registry.get("job") is None
    assert registry.count_waiting("queue") == 0


def test_a_second_acceptance_changes_nothing():
    other = JobAccepted(StagedJob("job", "queue", "bob", "x", (), JobTerms("s"), 7))
    assert build_book(ACCEPTED, other).get("job").job == JOB


def test_only_what_has_not_begun_counts_as_waiting():
    assert build_book(ACCEPTED).count_waiting("queue") == 1
    assert build_book(ACCEPTED).count_waiting("other") == 0
    assert build_book(ACCEPTED, BEGUN).count_waiting("queue") == 0


def test_a_dropped_key_ends_the_entry():
    registry = build_book(ACCEPTED, BEGUN)
    registry.apply(StoredRecord(2, "ajob", b""))
    assert registry.get("job") is None


def test_a_record_that_cannot_be_read_is_passed_over():
    registry = build_book(ACCEPTED)
    assert registry.apply(StoredRecord(1, "ajob", b"\xff")) is None
    assert registry.get("job").job == JOB


def apply_records(registry, encoded_records) -> None:
    for encoded in encoded_records:
        registry.apply(StoredRecord(9, encoded.key, encoded.value))


def test_of_an_ended_job_the_outcome_is_kept():
    registry = build_book(ACCEPTED, BEGUN, FINISHED)
    apply_records(registry, make_closing_records("job"))
    entry = registry.get("job")
    assert entry.state is JobState.FINISHED
    assert entry.customer == "ann"
    assert entry.job is None


def test_an_ended_job_that_is_sent_again_stays_ended():
    registry = build_book(ACCEPTED, FINISHED)
    apply_records(registry, make_closing_records("job"))
    registry.apply(StoredRecord(9, "ajob", encode_job_record(ACCEPTED).value))
    assert registry.get("job").state is JobState.FINISHED
    assert registry.count_waiting("queue") == 0


def test_nothing_is_kept_of_a_job_that_expired():
    registry = build_book(ACCEPTED, FINISHED)
    assert registry.list_expired(9) == []
    assert registry.list_expired(10) == ["job"]
    apply_records(registry, make_expiry_records("job"))
    assert registry.entries == {}


def test_progress_replaces_what_was_known_of_it():
    registry = build_book(ACCEPTED)
    encoded = encode_job_record(PROGRESS)
    other = encode_job_record(PhaseProgress(PhaseId("gone", 0, 0), ()))
    records = [StoredRecord(1, r.key, r.value) for r in (encoded, other)]
    assert registry.replace_progress(records) == [PhaseId("gone", 0, 0)]
    assert registry.get("job").phases == {PHASE: PROGRESS}
    assert list(registry.entries) == ["job"]
    registry.replace_progress([])
    assert registry.get("job").phases == {}
