"""Check the order in which instances try for a hall."""

from larkhoist.ownership.order import order_instances


def test_order_is_the_same_whatever_the_input_order():
    names = ["a", "b", "c", "d"]
    assert order_instances("hall", names) == order_instances("hall", names[::-1])


def test_losing_one_instance_keeps_the_others_in_order():
    names = [f"entry-{n}" for n in range(8)]
    whole = order_instances("hall", names)
    without = order_instances("hall", [n for n in names if n != whole[0]])
    assert without == whole[1:]
