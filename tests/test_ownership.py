"""Check tenures, candidacy, readiness and group commit at given times."""

from larkhoist.log.commit import AppendBudget, CommitQueue
from larkhoist.log.records import JobCancelled
from larkhoist.membership.peers import Gossip
from larkhoist.membership.readiness import decide_candidacy, decide_ready
from larkhoist.ownership.order import order_instances
from larkhoist.ownership.tenure import LeaseTerms, Tenure
from larkhoist.ports.worker import LeaseReply, TaskReport, TaskState

TERMS = LeaseTerms(term_s=3.0, task_term_s=10.0, lost_after_s=4.0, margin_s=0.5)
NAMES = ("w0", "w1", "w2", "w3")


def make_tenure():
    tenure = Tenure("me", TERMS)
    tenure.set_workers(set(NAMES), 0.0)
    tenure.begin(0.0)
    return tenure


def grant(tenure, name, now_s):
    tenure.note_sent(name, now_s, TERMS.task_term_s)
    tenure.note_reply(name, now_s, LeaseReply(True, "me", tenure.get_epoch(name), 3.0))


def test_half_of_the_leases_keeps_a_tenure_but_does_not_begin_one():
    tenure = make_tenure()
    grant(tenure, "w0", 0.0)
    grant(tenure, "w1", 0.0)
    tenure.update(0.1)
    assert not tenure.has_majority
    grant(tenure, "w2", 0.2)
    tenure.update(0.2)
    assert tenure.has_majority
    grant(tenure, "w0", 3.0)
    grant(tenure, "w1", 3.0)
    tenure.update(3.5)
    assert tenure.has_majority
    grant(tenure, "w0", 6.0)
    tenure.update(6.5)
    assert not tenure.has_majority


def test_lease_counts_from_when_the_request_left():
    tenure = make_tenure()
    grant(tenure, "w0", 1.0)
    assert tenure.holds("w0", 3.9)
    assert not tenure.holds("w0", 4.0)


def test_refusal_raises_the_epoch_for_that_worker():
    tenure = make_tenure()
    tenure.note_reply("w0", 0.0, LeaseReply(False, "other", 7, 2.0))
    assert tenure.get_epoch("w0") == 8
    assert tenure.get_epoch("w1") == 1


def test_silent_worker_is_given_up_and_then_surely_idle():
    tenure = make_tenure()
    for name in NAMES:
        grant(tenure, name, 0.0)
    tenure.update(0.0)
    assert tenure.get_task_term("w0", 4.0) == TERMS.task_term_s
    tenure.note_sent("w0", 4.0, TERMS.task_term_s)
    assert tenure.get_task_term("w0", 4.5) == 0.0
    tenure.note_sent("w0", 4.5, 0.0)
    idle_s = 4.0 + TERMS.term_s + TERMS.task_term_s + TERMS.margin_s
    for name in NAMES[1:]:
        grant(tenure, name, idle_s)
    tenure.update(idle_s)
    assert not tenure.must_be_idle("w0", idle_s)
    assert tenure.must_be_idle("w0", idle_s + 0.1)
    assert tenure.is_settled(idle_s + 0.1)


def test_try_without_majority_ends_after_two_terms():
    tenure = make_tenure()
    assert not tenure.must_yield(6.9)
    assert tenure.must_yield(7.1)


def make_gossip(instance, **changes):
    gossip = Gossip(instance, "h", "a:1", 10, 1, True, False, 0, {}, {}, 1)
    fields = {name: getattr(gossip, name) for name in Gossip.__struct_fields__}
    return Gossip(**(fields | changes))


def test_first_ready_instance_is_the_candidate():
    names = ["a", "b", "c"]
    first = order_instances("h", names)[0]
    for name in names:
        peers = [make_gossip(other) for other in names if other != name]
        assert decide_candidacy(name, "h", True, False, peers) is (name == first)


def test_nobody_tries_while_a_live_peer_owns_the_hall():
    peers = [make_gossip("b", owner_epoch=3)]
    assert not decide_candidacy("a", "h", True, False, peers)
    elsewhere = [make_gossip("b", owner_epoch=3, hall="other")]
    assert decide_candidacy("a", "h", True, False, elsewhere)


def test_draining_or_unready_instances_do_not_try():
    assert not decide_candidacy("a", "h", True, True, [])
    assert not decide_candidacy("a", "h", False, False, [])


def test_fresh_instance_waits_for_the_state_of_its_peers():
    peers = [make_gossip("b"), make_gossip("c", next_offset=20, hall="far")]
    assert not decide_ready(False, 9, "h", peers)
    assert decide_ready(False, 10, "h", peers)
    assert not decide_ready(False, 10, "other", peers)
    assert not decide_ready(False, 10, "h", [])
    assert decide_ready(True, 0, "h", peers)


def test_unsettled_batch_is_appended_again_as_it_is():
    queue = CommitQueue("w")
    queue.add(JobCancelled("a"))
    first = queue.take_batch(1)
    queue.add(JobCancelled("b"))
    assert queue.take_batch(2) is first
    queue.settle()
    second = queue.take_batch(3)
    assert (second.sequence, second.records) == (2, (JobCancelled("b"),))


def test_full_queue_refuses():
    queue = CommitQueue("w", max_waiting=1)
    assert queue.add(JobCancelled("a"))
    assert not queue.add(JobCancelled("b"))


def test_budget_bounds_appends_in_any_window():
    budget = AppendBudget(rate=10.0, burst=4.0, tokens=4.0, refilled_s=0.0)
    appended, now_s = 0, 0.0
    while now_s < 5.0:
        wait_s = budget.get_wait(now_s)
        now_s += wait_s
        budget.spend(now_s)
        appended += 1
    assert appended <= 4 + 10 * 5 + 1


def test_terms_leave_time_to_take_over():
    terms = LeaseTerms()
    assert terms.task_term_s > terms.term_s * 2 + terms.renew_s


def test_a_report_counts_in_its_own_tenure_alone():
    # Between two tenures another owner may have commanded the worker, so the next
    # tenure starts without reports.
    tenure = make_tenure()
    task = TaskReport("job", 1, 0, TaskState.RUNNING, 1)
    reply = LeaseReply(True, "me", tenure.get_epoch("w0"), 3.0, (task,))
    tenure.note_reply("w0", 0.0, reply)
    assert tenure.get_reports()["w0"] == (task,)
    tenure.begin(1.0)
    assert tenure.get_reports()["w0"] == ()
