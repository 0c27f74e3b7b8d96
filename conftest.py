"""Pass over the tests that are listed as known failures, and print the list."""

import pytest

from tests.known_failures import find_unmatched, is_listed, read_known_failures


def pytest_collection_modifyitems(config, items):
    """Deselect listed tests; a listed test that doesn't exist is an error."""
    failures = read_known_failures()
    names = [item.nodeid for item in items]
    missing = [one for one in failures if one.file and not _has_file(config, one.file)]
    unmatched = missing or find_unmatched(names, failures)
    if unmatched and not _chooses_single_tests(config):
        listed = ", ".join(one.name for one in unmatched)
        raise pytest.UsageError(f"KNOWN-RED.txt lists tests that don't exist: {listed}")
    listed = [item for item in items if is_listed(item.nodeid, failures)]
    if listed and not _chooses_single_tests(config):
        items[:] = [item for item in items if item not in listed]
        config.hook.pytest_deselected(items=listed)


def pytest_terminal_summary(terminalreporter):
    """Print the list below the results."""
    for one in read_known_failures():
        terminalreporter.write_line(f"known failure: {one.text}")


def _has_file(config, file: str) -> bool:
    return (config.rootpath / file).exists()


def _chooses_single_tests(config) -> bool:
    """Tell whether tests are named one by one: these run, listed or not."""
    return any("::" in argument for argument in config.args)
