"""Check the parsing of KNOWN-RED.txt and the matching of its entries to tests."""

from tests.known_failures import (
    KnownFailure,
    find_unmatched,
    is_listed,
    read_known_failures,
)

LINES = [
    "tests/a.py::test_one | fails | 1",
    "",
    "tests/a.py::test_two[3-x] | one case of it | 1",
    "soak-1 | python -m soak --first 1 | 2",
]


def test_entries_have_a_name_and_tests_a_file():
    one, two, soak = read_known_failures(LINES)
    assert (one.name, one.file) == ("tests/a.py::test_one", "tests/a.py")
    assert two.name == "tests/a.py::test_two[3-x]"
    assert (soak.name, soak.file) == ("soak-1", "")


def test_a_test_is_listed_with_all_its_cases_or_by_one_of_them():
    failures = read_known_failures(LINES)
    assert is_listed("tests/a.py::test_one", failures)
    assert is_listed("tests/a.py::test_one[4]", failures)
    assert is_listed("tests/a.py::test_two[3-x]", failures)
    assert not is_listed("tests/a.py::test_two[3-y]", failures)
    assert not is_listed("tests/a.py::test_one_more", failures)


def test_listed_tests_that_do_not_exist_are_found():
    failures = read_known_failures(LINES)
    found = find_unmatched(["tests/a.py::test_one", "tests/b.py::test"], failures)
    assert found == [KnownFailure("tests/a.py::test_two[3-x]", LINES[2])]
    assert find_unmatched(["tests/b.py::test"], failures) == []


def test_every_entry_of_the_list_has_a_command_and_an_issue():
    for failure in read_known_failures():
        assert failure.text.count("|") >= 2
        assert failure.text.rpartition("|")[2].strip().isdigit()
