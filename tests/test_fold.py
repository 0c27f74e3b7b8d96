"""Check the fold: the first claim wins, races are decided, nothing counts twice."""

import pytest

from larkhoist.codes import Code
from larkhoist.log.fold import CLAIM_WINDOW_MS, LogGapError, fold_batch, get_claim
from larkhoist.log.objects import CustomerSpec, JobSpec, ServiceSpec
from larkhoist.log.records import (
    Batch,
    ClaimMade,
    ClaimReleased,
    CustomerPut,
    JobClaimed,
    JobFinished,
    JobPut,
    JobRequeued,
    PlanConfirmed,
    PlanProposed,
    ServicePut,
    decode_batch,
    encode_batch,
)
from larkhoist.log.snapshot import SnapshotAssembler, decode_part, split_state
from larkhoist.log.state import ClusterState, JobState


class Log:
    """A log that folds each added batch; batches may come from several writers."""

    def __init__(self):
        self.state = ClusterState()
        self.batches = []
        self.sequences = {}

    def add(self, *records, writer="w", at_ms=1000):
        sequence = self.sequences.get(writer, 0) + 1
        self.sequences[writer] = sequence
        self.add_batch(Batch(writer, sequence, at_ms, records))

    def add_batch(self, batch):
        self.batches.append(decode_batch(encode_batch(batch)))
        fold_batch(self.state, len(self.batches) - 1, self.batches[-1])


def put_customer(plan_id, base, name, share=1):
    change = CustomerPut(CustomerSpec(name, share))
    return PlanProposed(plan_id, base, "operator", (change,))


def test_first_claim_of_a_key_wins():
    log = Log()
    log.add(ClaimMade("s", "k", "c1", "a", 1), writer="a")
    log.add(ClaimMade("s", "k", "c2", "b", 1), writer="b")
    assert get_claim(log.state, "s", "k").claim_id == "c1"


def test_only_the_holder_releases_a_claim():
    log = Log()
    log.add(ClaimMade("s", "k", "c1", "a", 1))
    log.add(ClaimReleased("s", "k", "c2"))
    assert get_claim(log.state, "s", "k").claim_id == "c1"
    log.add(ClaimReleased("s", "k", "c1"))
    assert get_claim(log.state, "s", "k") is None


def test_claims_are_forgotten_after_the_window_and_not_before():
    log = Log()
    log.add(ClaimMade("s", "k", "c1", "a", 1), at_ms=10_000)
    log.add(at_ms=10_000 + CLAIM_WINDOW_MS)
    assert get_claim(log.state, "s", "k") is not None
    log.add(at_ms=12_000 + CLAIM_WINDOW_MS)
    assert get_claim(log.state, "s", "k") is None


def test_batch_appended_twice_is_folded_once():
    log = Log()
    log.add(JobPut(JobSpec("j", "c", 1, 1)))
    log.add(JobClaimed("j", "h"))
    requeue = Batch("x", 1, 1000, (JobRequeued("j", "h", 1, Code.MEMBER_LOST),))
    log.add_batch(requeue)
    log.add_batch(requeue)
    assert log.state.jobs["j"].attempt == 2


def test_late_copy_of_an_older_batch_changes_nothing():
    log = Log()
    first = Batch("x", 1, 1000, (ClaimMade("s", "k", "c1", "a", 1),))
    log.add_batch(first)
    log.add_batch(Batch("x", 2, 1000, (ClaimReleased("s", "k", "c1"),)))
    log.add_batch(first)
    assert get_claim(log.state, "s", "k") is None


def test_gap_is_refused_and_old_offsets_change_nothing():
    log = Log()
    log.add(ClaimMade("s", "k", "c1", "a", 1))
    with pytest.raises(LogGapError):
        fold_batch(log.state, 5, log.batches[0])
    before = log.state.next_offset
    fold_batch(log.state, 0, log.batches[0])
    assert log.state.next_offset == before


def test_racing_confirms_on_one_object_name_the_winner():
    log = Log()
    log.add(put_customer("p1", 0, "c", 1), put_customer("p2", 0, "c", 2))
    log.add(PlanConfirmed("p2", "operator"))
    log.add(PlanConfirmed("p1", "operator"))
    assert log.state.confirms["p2"].code == Code.ACCEPTED
    lost = log.state.confirms["p1"]
    assert (lost.code, lost.winner) == (Code.STALE_BASE, "p2")
    assert log.state.customers["c"].share == 2
    assert log.state.revision == 1


def test_confirms_on_other_objects_do_not_clash():
    log = Log()
    service = PlanProposed("p2", 0, "o", (ServicePut(ServiceSpec("s")),))
    log.add(put_customer("p1", 0, "c"), service)
    log.add(PlanConfirmed("p1", "o"), PlanConfirmed("p2", "o"))
    assert [c.code for c in log.state.confirms.values()] == [Code.ACCEPTED] * 2


def test_two_plans_with_guarantees_from_one_base_do_not_both_pass():
    # Each plan was checked without the other; together they may not fit the racks.
    log = Log()
    log.add(put_customer("p1", 0, "c1"), put_customer("p2", 0, "c2"))
    log.add(PlanConfirmed("p1", "o"), PlanConfirmed("p2", "o"))
    assert log.state.confirms["p2"].code == Code.STALE_BASE


def test_confirm_twice_raises_the_revision_once():
    log = Log()
    log.add(put_customer("p1", 0, "c"))
    log.add(PlanConfirmed("p1", "o"))
    log.add(PlanConfirmed("p1", "o"), writer="other")
    assert log.state.revision == 1


def test_confirm_of_an_unknown_plan_is_refused():
    log = Log()
    log.add(PlanConfirmed("p", "o"))
    assert log.state.confirms["p"].code == Code.PLAN_UNKNOWN


def test_first_hall_to_claim_a_job_has_it():
    log = Log()
    log.add(JobPut(JobSpec("j", "c", 1, 1)))
    log.add(JobClaimed("j", "h1"), writer="a")
    log.add(JobClaimed("j", "h2"), writer="b")
    assert log.state.jobs["j"].hall == "h1"


def test_reports_of_an_older_attempt_or_another_hall_change_nothing():
    log = Log()
    log.add(JobPut(JobSpec("j", "c", 1, 1)), JobClaimed("j", "h1"))
    log.add(JobRequeued("j", "h1", 1, Code.MEMBER_LOST))
    log.add(JobFinished("j", "h1", 1, Code.JOB_FINISHED))
    log.add(JobFinished("j", "h2", 2, Code.JOB_FINISHED))
    assert log.state.jobs["j"].state is JobState.CLAIMED
    assert log.state.jobs["j"].attempt == 2


def test_snapshot_in_parts_gives_the_same_state_back():
    log = Log()
    for number in range(200):
        log.add(ClaimMade("s", f"k{number}", f"c{number}", "a", number))
    parts = [decode_part(data) for data in split_state(log.state, 512)]
    assert len(parts) > 3
    assembler = SnapshotAssembler()
    for part in parts[1:]:
        assembler.add(part)
    assert assembler.newest is None
    assembler.add(parts[0])
    assert assembler.newest == log.state


def test_torn_snapshot_is_not_taken():
    log = Log()
    log.add(*(ClaimMade("s", f"k{n}", "c", "a", n) for n in range(100)))
    parts = [decode_part(data) for data in split_state(log.state, 512)]
    assembler = SnapshotAssembler()
    for part in parts[:-1]:
        assembler.add(part)
    torn = type(parts[-1])(
        parts[-1].next_offset,
        parts[-1].digest,
        parts[-1].index,
        parts[-1].count,
        parts[-1].data[:-1],
    )
    assembler.add(torn)
    assert assembler.newest is None
