"""Check routing, limits, retries, ejection and early refusal at given times."""

import pytest

from larkhoist.codes import Code
from larkhoist.log.fold import CLAIM_WINDOW_MS
from larkhoist.log.state import ClaimEntry
from larkhoist.requests.claim import check_claim_age, decide_claim
from larkhoist.requests.dispatcher import Queued, Refused, SendTo, create_dispatcher
from larkhoist.requests.fair_queue import FairQueue, QueuedRequest
from larkhoist.requests.outcome import RequestLedger
from larkhoist.requests.policy import RequestPolicy
from larkhoist.requests.upstream_set import UpstreamSet

POLICY = RequestPolicy(pack_share=0.5, overcommit=0, eject_after=2, eject_s=5.0)


def make_upstreams(count=3, slots=4, policy=POLICY):
    upstreams = UpstreamSet(policy)
    for number in range(count):
        upstreams.put(f"u{number}", slots, 0.0)
    return upstreams


def begin_requests(upstreams, count, now_s=0.0):
    chosen = []
    for _ in range(count):
        name = upstreams.choose(now_s)
        chosen.append(name)
        if name is not None:
            upstreams.begin(name, now_s)
    return chosen


def test_requests_pack_up_to_the_share_then_spread():
    upstreams = make_upstreams()
    assert begin_requests(upstreams, 6) == ["u0", "u0", "u1", "u1", "u2", "u2"]
    assert begin_requests(upstreams, 3) == ["u0", "u1", "u2"]


def test_nothing_is_chosen_beyond_the_slots():
    upstreams = make_upstreams(count=1, slots=2)
    assert begin_requests(upstreams, 3) == ["u0", "u0", None]


def test_load_of_other_instances_counts():
    upstreams = make_upstreams(count=2, slots=2)
    upstreams.set_remote_in_flight("u0", 2, 0.0)
    assert begin_requests(upstreams, 3) == ["u1", "u1", None]


def test_slots_that_jobs_use_are_left_alone():
    upstreams = make_upstreams(count=1, slots=4)
    upstreams.set_ceiling("u0", 1, 0.0)
    assert begin_requests(upstreams, 2) == ["u0", None]


def test_leaving_upstream_gets_nothing_and_keeps_its_requests():
    upstreams = make_upstreams(count=2)
    begin_requests(upstreams, 1)
    upstreams.set_leaving("u0", 0.0)
    assert set(begin_requests(upstreams, 4)) == {"u1"}
    upstreams.finish("u0", True, 1.0)
    assert upstreams.get_local_in_flight() == {"u1": 4}


def test_failing_upstream_is_ejected_and_returns_slowly():
    upstreams = make_upstreams(count=3, slots=4)
    for _ in range(2):
        upstreams.begin("u0", 0.0)
        upstreams.finish("u0", False, 0.0)
    assert upstreams.count_ejected() == 1
    assert "u0" not in begin_requests(upstreams, 4, 1.0)
    back = begin_requests(upstreams, 8, 5.1)
    assert back.count("u0") == 1


def test_one_fault_cannot_eject_everybody():
    upstreams = make_upstreams(count=6)
    for name in upstreams.names():
        for _ in range(10):
            upstreams.begin(name, 0.0)
            upstreams.finish(name, False, 0.0)
    assert upstreams.count_ejected() == 2


def make_request(number, customer="c", deadline_s=10.0):
    return QueuedRequest(f"r{number}", customer, 0.0, deadline_s)


def make_dispatcher(slots=1, **policy):
    dispatcher = create_dispatcher(RequestPolicy(overcommit=0, **policy))
    dispatcher.upstreams.put("u", slots, 0.0)
    return dispatcher


def test_queued_request_gets_the_slot_that_gets_free():
    dispatcher = make_dispatcher()
    assert dispatcher.admit(make_request(1), 1, 0.0) == SendTo("r1", "u")
    assert dispatcher.admit(make_request(2), 1, 0.0) == Queued("r2")
    assert dispatcher.finish("u", True, 1.0) == [SendTo("r2", "u")]


def test_late_request_is_refused_at_its_deadline():
    dispatcher = make_dispatcher()
    dispatcher.admit(make_request(1), 1, 0.0)
    dispatcher.admit(make_request(2, deadline_s=2.0), 1, 0.0)
    (refused,) = dispatcher.pump(2.0)
    assert isinstance(refused, Refused)
    assert refused.problem.code is Code.DEADLINE_IN_QUEUE


def test_request_that_cannot_make_it_is_refused_at_once():
    dispatcher = make_dispatcher()
    for number in range(6):
        dispatcher.admit(make_request(number, deadline_s=100.0), 1, 0.0)
    for second in range(1, 4):
        dispatcher.finish("u", True, float(second))
    decision = dispatcher.admit(make_request(9, deadline_s=4.0), 1, 3.5)
    assert isinstance(decision, Refused)
    assert decision.problem.code is Code.DEADLINE_IN_QUEUE
    assert decision.problem.retry_after_s >= 1.0


@pytest.mark.parametrize(
    ("policy", "code"),
    [
        ({"max_queue": 1}, Code.QUEUE_FULL),
        ({"max_customer_queue": 1}, Code.CUSTOMER_LIMIT),
    ],
)
def test_queues_are_bounded(policy, code):
    dispatcher = make_dispatcher(**policy)
    dispatcher.admit(make_request(1), 1, 0.0)
    dispatcher.admit(make_request(2), 1, 0.0)
    decision = dispatcher.admit(make_request(3), 1, 0.0)
    assert decision.problem.code is code


def test_request_without_upstreams_is_refused_with_a_time():
    decision = create_dispatcher(RequestPolicy()).admit(make_request(1), 1, 0.0)
    assert decision.problem.code is Code.NO_UPSTREAM
    assert decision.problem.retry_after_s > 0


def test_retries_stay_within_the_budget():
    dispatcher = make_dispatcher(slots=1000, retry_ratio=0.1, retry_burst=3.0)
    granted = 0
    for _ in range(100):
        dispatcher.retries.add_first_attempt()
        granted += dispatcher.choose_for_retry(frozenset(), 0.0) is not None
    assert granted <= 3 + 100 * 0.1


def test_retry_goes_to_another_upstream():
    dispatcher = make_dispatcher()
    dispatcher.upstreams.put("v", 1, 0.0)
    assert dispatcher.choose_for_retry(frozenset({"u"}), 0.0) == "v"


def test_customers_are_served_by_their_shares():
    queue = FairQueue()
    for number in range(60):
        queue.push(make_request(f"a{number}", "a"), 1)
        queue.push(make_request(f"b{number}", "b"), 3)
    first = [queue.pop().customer for _ in range(40)]
    assert first.count("b") == 30


def test_queue_forgets_what_left_from_any_position():
    queue = FairQueue()
    for number in range(3):
        queue.push(make_request(number), 1)
    assert queue.remove("r1") and not queue.remove("r1")
    assert [queue.pop().request_id for _ in range(2)] == ["r0", "r2"]
    assert queue.pop() is None


def test_not_run_after_an_unknown_send_stays_unknown():
    ledger = RequestLedger()
    ledger.note_send()
    ledger.note_result(Code.TIMED_OUT)
    ledger.note_send()
    ledger.note_result(Code.CONNECT_FAILED)
    assert ledger.conclude(Code.CONNECT_FAILED) is Code.TIMED_OUT
    assert ledger.may_have_run


def test_send_under_way_may_have_run():
    ledger = RequestLedger()
    ledger.note_send()
    assert ledger.may_have_run
    ledger.note_result(Code.UPSTREAM_REFUSED)
    assert not ledger.may_have_run


@pytest.mark.parametrize(
    ("code", "repeatable", "again"),
    [
        (Code.CONNECT_FAILED, False, True),
        (Code.CONNECTION_LOST, False, False),
        (Code.CONNECTION_LOST, True, True),
        (Code.ANSWERED, True, False),
    ],
)
def test_what_may_be_sent_again(code, repeatable, again):
    assert RequestLedger().may_send_again(code, repeatable) is again


def test_claim_is_decided_by_the_folded_entry():
    entry = ClaimEntry("mine", "i", 7, 0)
    assert decide_claim(entry, "mine", 7).ours
    assert decide_claim(entry, "other", 7).problem.code is Code.CLAIMED_BEFORE
    assert decide_claim(entry, "other", 8).problem.code is Code.KEY_REUSED
    assert decide_claim(None, "mine", 7).problem.code is Code.CLAIM_UNAVAILABLE


def test_holder_that_was_paused_too_long_does_not_send():
    limit_s = CLAIM_WINDOW_MS / 2000
    assert check_claim_age(0.0, limit_s) is None
    assert check_claim_age(0.0, limit_s + 1).code is Code.CLAIM_TOO_OLD


def test_an_upstream_that_comes_back_on_the_list_still_has_its_requests():
    # Guards against losing the count of requests in flight when an upstream is removed
    # and added again: it was sent two requests too many, and its load fell below zero
    # as the earlier ones ended.
    upstreams = make_upstreams(count=1, slots=2)
    assert begin_requests(upstreams, 2) == ["u0", "u0"]
    upstreams.remove("u0")
    upstreams.put("u0", 2, 1.0)
    assert upstreams.get_local_in_flight() == {"u0": 2}
    assert begin_requests(upstreams, 1, 1000.0) == [None]
    upstreams.finish("u0", True, 1000.0)
    assert begin_requests(upstreams, 2, 1000.0) == ["u0", None]
    for _ in range(2):
        upstreams.finish("u0", True, 1001.0)
    assert upstreams.get_local_in_flight() == {}


def test_requests_that_end_while_their_upstream_is_off_the_list_count_no_more():
    # Guards against two faults while an upstream is removed: the end of a request was
    # not counted, and the requests still in flight were not reported.
    upstreams = make_upstreams(count=1, slots=2)
    begin_requests(upstreams, 2)
    upstreams.remove("u0")
    upstreams.finish("u0", True, 0.5)
    assert upstreams.names() == []
    assert upstreams.get_local_in_flight() == {"u0": 1}
    upstreams.remove("u0")
    upstreams.put("u0", 2, 1.0)
    assert upstreams.get_local_in_flight() == {"u0": 1}
    assert begin_requests(upstreams, 2, 1000.0) == ["u0", None]


def test_an_upstream_that_went_for_good_leaves_nothing_behind():
    upstreams = make_upstreams(count=1, slots=2)
    begin_requests(upstreams, 1)
    upstreams.remove("u0")
    upstreams.finish("u0", False, 0.5)
    upstreams.finish("u0", False, 0.5)
    assert upstreams.get_local_in_flight() == {}
    assert upstreams.count_ejected() == 0
    upstreams.put("u0", 2, 1.0)
    assert upstreams.get_local_in_flight() == {}
    assert begin_requests(upstreams, 3, 1000.0) == ["u0", "u0", None]
