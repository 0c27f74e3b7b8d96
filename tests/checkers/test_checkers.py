"""Check that the checkers accept good histories and report bad ones."""

import pytest

from larkhoist.codes import Code
from tests.checkers.gangs import TaskEvent, check_gangs
from tests.checkers.requests import CallRecord, check_requests
from tests.checkers.revisions import RevisionSample, find_reversions


def make_call(marker="m", key="k", repeatable=True, code=Code.ANSWERED, answer=None):
    answer = marker if answer is None and code == Code.ANSWERED else answer or ""
    return CallRecord(marker, key, repeatable, code, answer)


def test_good_request_history_passes():
    calls = [
        make_call("a"),
        make_call("b", code=Code.QUEUE_FULL),
        make_call("c", "k1", False),
        make_call("d", "k1", False, Code.CLAIMED_BEFORE),
        make_call("e", "k2", False, Code.TIMED_OUT),
    ]
    assert check_requests(calls, ["a", "a", "c", "e"]) == []


@pytest.mark.parametrize(
    ("promise", "calls", "executed"),
    [
        (3, [make_call("a", answer="b")], ["a"]),
        (3, [make_call("a", answer="")], ["a"]),
        (4, [make_call("a", code=Code.CONNECT_FAILED)], ["a"]),
        (5, [make_call("a", "k", False)], ["a", "a"]),
        (5, [make_call("a", "k", False), make_call("b", "k", False)], ["a", "b"]),
        (5, [make_call("a", "k", False, 0), make_call("b", "k", False)], ["a", "b"]),
    ],
)
def test_bad_request_history_is_found(promise, calls, executed):
    if promise == 3 and calls[0].answer_marker == "":
        calls = [CallRecord("a", "k", True, Code.ANSWERED, "")]
    assert [v.promise for v in check_requests(calls, executed)] == [promise]


def make_history(text, attempt=1):
    """Parse lines such as ``0.0 prepared 0``: time in seconds, event, member."""
    events = []
    for line in text.strip().splitlines():
        at, event, member = line.split()
        events.append(TaskEvent(float(at), "j", attempt, int(member), event))
    return events


WHOLE = """
0.0 prepared 0
0.1 prepared 1
0.2 running 0
0.3 running 1
5.0 finished 0
5.2 finished 1
"""


def check(events):
    return check_gangs(events, {"j": 2}, window_s=1.0, end_s=100.0)


def test_whole_gang_passes():
    assert check(make_history(WHOLE)) == []


def test_gang_stopped_within_the_window_passes():
    history = make_history(
        "0 prepared 0\n0 prepared 1\n1 running 0\n1 running 1\n"
        "3 failed 0\n3.9 stopped 1"
    )
    assert check(history) == []


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ("0 prepared 0\n1 running 0\n1.1 prepared 1\n1.2 running 1", "started with 1"),
        ("0 prepared 0\n0 prepared 1\n1 running 0", "ran in part"),
        (
            "0 prepared 0\n0 prepared 1\n1 running 0\n1 running 1\n"
            "2 lost 0\n4 stopped 1",
            "ran in part",
        ),
    ],
)
def test_partial_gang_is_found(text, what):
    found = check(make_history(text))
    assert found and what in found[0].what


def test_two_attempts_at_once_are_found():
    first = make_history(WHOLE)
    second = [
        TaskEvent(event.at_s + 2, "j", 2, event.member, event.event) for event in first
    ]
    assert [v.what for v in check(first + second)] == ["ran while another attempt ran"]


def test_revision_that_goes_back_is_found():
    good = [RevisionSample(1.0, "a", 1), RevisionSample(2.0, "a", 2)]
    assert find_reversions([*good, RevisionSample(0.5, "b", 9)]) == []
    assert find_reversions([*good, RevisionSample(3.0, "a", 0)]) == [
        "a went from 2 to 0"
    ]
