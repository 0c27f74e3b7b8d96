"""Check that logging does not block and keeps to its limits."""

import logging
import queue

import pytest

from larkhoist.daemon import logs


@pytest.fixture
def lines():
    return queue.Queue(5)


@pytest.fixture
def logger(lines):
    test_logger = logging.Logger("test")
    handler = logs.BoundedHandler(lines)
    handler.setFormatter(logs.KeyValueFormatter())
    test_logger.addHandler(handler)
    return test_logger


def test_lines_are_dropped_and_counted_when_nobody_reads(logger, lines):
    for number in range(8):
        logs.log_event(logger, "event", number=number)
    assert lines.qsize() == 5
    while not lines.empty():
        lines.get()
    logs.log_event(logger, "event", number=8)
    assert "lines_dropped_before=3" in lines.get().getMessage()


def test_lines_are_bounded_in_each_second(logger, lines, monkeypatch):
    monkeypatch.setattr(logs, "MAX_LINES_PER_S", 2)
    monkeypatch.setattr(logs.time, "monotonic", lambda: 100.0)
    for number in range(4):
        logs.log_event(logger, "event", number=number)
    assert lines.qsize() == 2
    monkeypatch.setattr(logs.time, "monotonic", lambda: 101.0)
    logs.log_event(logger, "event", number=4)
    texts = [lines.get().getMessage() for _ in range(3)]
    assert "number=4" in texts[-1]
    assert "lines_dropped_before=2" in texts[-1]


def test_a_storm_of_one_event_leaves_room_for_others(logger, lines, monkeypatch):
    monkeypatch.setattr(logs, "MAX_LINES_OF_EVENT_PER_S", 2)
    monkeypatch.setattr(logs.time, "monotonic", lambda: 100.0)
    for number in range(4):
        logs.log_event(logger, "refused", number=number)
    logs.log_event(logger, "worker-unlisted")
    texts = [lines.get().getMessage() for _ in range(3)]
    assert "event=worker-unlisted" in texts[-1]
    assert "lines_dropped_before=2" in texts[-1]
