"""Check the order in which instances are preferred as owner of a data hall."""

from larkhoist.ownership.order import order_instances


def test_order_is_the_same_whatever_the_input_order():
    names = ["a", "b", "c", "d"]
    assert order_instances("hall", names) == order_instances("hall", names[::-1])


def test_losing_one_instance_keeps_the_others_in_order():
    names = [f"entry-{n}" for n in range(8)]
    full_order = order_instances("hall", names)
    remaining_order = order_instances("hall", [n for n in names if n != full_order[0]])
    assert remaining_order == full_order[1:]
