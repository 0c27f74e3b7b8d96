"""Check the placement index, guarantees, quarantine and predicted run times."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larkhoist.codes import Code
from larkhoist.log.objects import Cell, CustomerSpec, Guarantee, JobSpec
from larkhoist.log.plan import check_job, check_plan, make_hall_indexes
from larkhoist.log.records import CustomerPut
from larkhoist.log.state import ClusterState
from larkhoist.placement.blocks import count_blocks, find_block
from larkhoist.placement.fragmentation import ExpectedShape, get_fragmentation
from larkhoist.placement.guarantee import can_cover, count_cells, subtract_claims
from larkhoist.placement.index import FreeIndex
from larkhoist.ports.platform import Instance
from larkhoist.scheduling.quarantine import Quarantine
from larkhoist.scheduling.runtime import RuntimeLearner
from measure.baseline_placement import BaselineFit, find_baseline_places


def make_index(racks=2, workers=4, size=8):
    index = FreeIndex()
    for rack in range(racks):
        for worker in range(workers):
            index.add_worker(f"r{rack}w{worker}", f"r{rack}", size)
    return index


def test_smallest_sufficient_block_is_broken():
    # A free block of 4 and one of 2: the block of 2 is taken.
    assert find_block(0b11110011, 1) == 0b11
    assert count_blocks(0b11110011, 2) == 1


def test_gang_gets_one_rack_and_the_fullest_that_fits():
    index = make_index()
    index.set_free("r0w0", 0)
    places = index.find(3, 8, "rack")
    assert {place.worker for place in places} == {"r0w1", "r0w2", "r0w3"}
    index.take(places)
    assert index.find(5, 8, "rack") is None
    assert index.find(4, 8, "rack") is not None
    assert index.find(4, 8, "hall") is not None


def test_single_tasks_keep_away_from_whole_racks():
    index = make_index()
    index.take(index.find(1, 1, "worker"))
    for _ in range(7):
        index.take(index.find(1, 1, "worker"))
    assert index.find(4, 8, "rack") is not None
    assert index.free_total == 56


shapes = st.tuples(
    st.integers(1, 6), st.integers(1, 8), st.sampled_from(("worker", "rack", "hall"))
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10**6), shape=shapes)
def test_index_finds_room_exactly_where_a_plain_search_does(seed, shape):
    rng = random.Random(seed)
    index = make_index()
    for rack in index.iter_racks():
        for name in index.get_rack_workers(rack):
            index.set_free(name, rng.getrandbits(8) | rng.getrandbits(8))
    members, accelerators, adjacency = shape
    if adjacency == "worker" and members * accelerators > 8:
        return
    places = index.find(*shape)
    spec = JobSpec("j", "c", members, accelerators, adjacency)
    plain = find_baseline_places(index, spec, BaselineFit.FIRST)
    assert (places is None) == (plain is None)
    if places is None:
        return
    used: Counter[str] = Counter()
    for place in places:
        free = index.get_free(place.worker)
        assert place.mask & free == place.mask
        assert place.mask.bit_count() == accelerators
        assert not used[place.worker] & place.mask
        used[place.worker] |= place.mask
    if adjacency == "rack":
        assert len({index.get_rack(place.worker) for place in places}) == 1


def test_index_gives_back_what_was_taken():
    index = make_index()
    before = [index.count_rack_blocks("r0", level) for level in range(4)]
    places = index.find(4, 3, "rack")
    index.take(places)
    index.give_back(places)
    assert [index.count_rack_blocks("r0", level) for level in range(4)] == before


def test_cells_are_covered_only_where_they_fit_together():
    index = make_index(racks=1, workers=2)
    assert can_cover(index, count_cells([Cell(8, 1), Cell(4, 2)]), 8) == (True, "")
    covered, reason = can_cover(index, count_cells([Cell(8, 2), Cell(1, 1)]), 8)
    assert not covered
    assert reason == "1 blocks of 1 accelerators are missing"
    covered, reason = can_cover(index, count_cells([Cell(32, 1)]), 8)
    assert (covered, reason) == (False, "no rack has 4 whole workers left")


def test_claims_break_up_the_smallest_sufficient_cell():
    left = subtract_claims(count_cells([Cell(8, 1), Cell(2, 1)]), [Counter({0: 1})])
    assert +left == Counter({3: 1, 0: 1})
    assert subtract_claims(count_cells([Cell(4, 1)]), [Counter({3: 1})]) is None


def test_fragmentation_counts_what_lies_too_scattered():
    mix = (ExpectedShape(1, 8, "worker", 1.0),)
    index = make_index(racks=1, workers=2)
    assert get_fragmentation(index, mix) == 0.0
    for name in ("r0w0", "r0w1"):
        index.set_free(name, 0b1111)
    assert get_fragmentation(index, mix) == 1.0
    index.set_free("r0w1", 0)
    assert get_fragmentation(index, mix) == 0.0


WORKERS = [
    Instance("worker", f"w{n}", "h", "127.0.0.1:1", rack="r", accelerators=8)
    for n in range(4)
]


@pytest.mark.parametrize(
    ("spec", "codes"),
    [
        (JobSpec("j", "c", 4, 8, "rack"), []),
        (JobSpec("j", "c", 5, 8, "rack"), [Code.JOB_NEVER_RUNNABLE]),
        (JobSpec("j", "c", 1, 16, "worker"), [Code.JOB_NEVER_RUNNABLE]),
        (JobSpec("j", "c", 1, 1, hall="x"), [Code.JOB_NEVER_RUNNABLE]),
        (JobSpec("j", "x", 1, 1), [Code.NOT_FOUND]),
    ],
)
def test_job_that_can_never_run_is_answered_at_once(spec, codes):
    customers = {"c": CustomerSpec("c")}
    problems = check_job(spec, customers, make_hall_indexes(WORKERS))
    assert [problem.code for problem in problems] == codes


def test_guarantee_that_the_racks_cannot_hold_is_refused_with_the_reason():
    state = ClusterState()
    state.customers["a"] = CustomerSpec("a", 1, (Guarantee("h", (Cell(16, 1),)),))
    halls = make_hall_indexes(WORKERS)
    fits = CustomerPut(CustomerSpec("b", 1, (Guarantee("h", (Cell(8, 2),)),)))
    assert check_plan(state, [fits], halls) == []
    too_much = CustomerPut(CustomerSpec("b", 1, (Guarantee("h", (Cell(8, 3),)),)))
    (problem,) = check_plan(state, [too_much], halls)
    assert problem.code is Code.GUARANTEE_DOES_NOT_FIT
    assert problem.detail == "1 blocks of 8 accelerators are missing"


def test_worker_that_fails_several_jobs_is_kept_out_and_comes_back():
    quarantine = Quarantine()
    for job in ("a", "b", "c"):
        quarantine.note_failure("w", job, 8, 0.0)
    assert quarantine.holds("w", 29.0)
    assert not quarantine.holds("w", 31.0)
    quarantine.note_failure("w", "d", 8, 31.0)
    assert quarantine.holds("w", 90.0)
    quarantine.note_success("w")
    assert not quarantine.holds("w", 90.0)


def test_one_bad_job_keeps_no_worker_out():
    quarantine = Quarantine()
    for _ in range(10):
        quarantine.note_failure("w", "a", 8, 0.0)
    assert not quarantine.holds("w", 1.0)


def test_at_most_a_quarter_of_the_workers_is_kept_out():
    quarantine = Quarantine()
    for worker in range(8):
        for job in ("a", "b", "c"):
            quarantine.note_failure(f"w{worker}", job, 8, 0.0)
    assert quarantine.count(1.0) == 2


def test_run_times_are_learned_from_wrong_declarations():
    learner = RuntimeLearner()
    spec = JobSpec("j", "c", 1, 1, kind="k", declared_s=100.0)
    assert learner.predict(spec) == 300.0
    for _ in range(10):
        learner.note(spec, 20.0)
    assert learner.predict(spec) == pytest.approx(20.0, rel=0.02)
