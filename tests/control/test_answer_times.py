"""Check the time-out after which a call to the log is repeated."""

import pytest

from larkhoist.control.answer_times import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    create_answer_times,
)


def test_quick_answers_keep_the_least_time_out():
    times = create_answer_times()
    assert times.get_timeout_s() == MIN_TIMEOUT_S
    for _ in range(20):
        times.note_answer(0.004)
    assert times.get_timeout_s() == MIN_TIMEOUT_S


def test_losses_double_the_time_out_up_to_the_longest():
    times = create_answer_times()
    times.note_answer(0.004)
    timeouts_s = []
    for _ in range(4):
        times.note_loss()
        timeouts_s.append(times.get_timeout_s())
    assert timeouts_s == [0.6, 1.2, MAX_TIMEOUT_S, MAX_TIMEOUT_S]
    times.note_answer(0.004)
    assert times.get_timeout_s() == MIN_TIMEOUT_S


@pytest.mark.parametrize("took_s", [0.2, 0.25, 0.29])
def test_a_log_that_turns_slow_is_waited_for(took_s):
    times = create_answer_times()
    for _ in range(50):
        times.note_answer(0.004)
    for _ in range(10):
        assert times.get_timeout_s() > took_s
        times.note_answer(took_s)
