"""Test which incarnation of a worker an answer is attributed to."""

import pytest

from larkhoist.fleet.incarnation import Incarnation, IncarnationOrder


@pytest.mark.parametrize(
    ("started_ms", "asked_s", "order"),
    [
        (1000, 5.0, IncarnationOrder.SAME),
        (0, 20.0, IncarnationOrder.SAME),
        (2000, 5.0, IncarnationOrder.LATER),
        # A delayed answer of the former incarnation.
        (900, 5.0, IncarnationOrder.FORMER),
        # The wall clock was set back between the two starts.
        (900, 20.0, IncarnationOrder.LATER),
    ],
)
def test_an_answer_belongs_to_the_incarnation_that_sent_it(started_ms, asked_s, order):
    known = Incarnation(1000, 10.0)
    assert known.compare(started_ms, asked_s) is order


def test_the_first_known_start_time_is_not_a_restart():
    assert Incarnation().compare(1000, 5.0) is IncarnationOrder.SAME
