"""Provide cluster fixtures, report checks by promise, deselect known failures."""

from collections import Counter
from dataclasses import dataclass, field

import pytest

from demo.cluster import ClusterShape, create_cluster
from tests.known_failures import find_unmatched, is_listed, read_known_failures

SHORT_DRAIN_NOTICE = {"drain_notice_s": 0.05}


@dataclass
class Evidence:
    """Counts of the operations, faults and violations seen while testing a promise.

    ``violations_with_mechanism_off`` counts violations with the tested mechanism
    switched off.
    """

    faults: Counter = field(default_factory=Counter)
    operations: int = 0
    violations: int = 0
    violations_with_mechanism_off: int = 0
    notes: list[str] = field(default_factory=list)


_evidence: dict[int, Evidence] = {}


@pytest.fixture
def evidence(request):
    """Return the evidence for the promise in the test's ``promise`` marker."""
    number = request.node.get_closest_marker("promise").args[0]
    return _evidence.setdefault(number, Evidence())


@pytest.fixture
async def start_cluster():
    """Return a function that starts a cluster; closes all clusters after the test."""
    clusters = []

    async def start(daemon="larkhoist.daemon.main", settings=None, **shape):
        settings = dict(settings or {})
        settings["timing"] = SHORT_DRAIN_NOTICE | settings.get("timing", {})
        cluster = create_cluster(ClusterShape(**shape, settings=settings), daemon)
        clusters.append(cluster)
        await cluster.start()
        return cluster

    yield start
    for cluster in clusters:
        await cluster.close()


def pytest_collection_modifyitems(config, items):
    """Deselect known failures.

    Raises ``pytest.UsageError`` if a listed test does not exist. If any argument on
    the command line names a single test, listed tests run and nothing is checked.
    """
    failures = read_known_failures()
    names = [item.nodeid for item in items]
    missing = [
        failure
        for failure in failures
        if failure.file and not _has_file(config, failure.file)
    ]
    unmatched = missing or find_unmatched(names, failures)
    if unmatched and not _selects_single_tests(config):
        listed = ", ".join(failure.name for failure in unmatched)
        raise pytest.UsageError(f"KNOWN-RED.txt lists tests that don't exist: {listed}")
    listed = [item for item in items if is_listed(item.nodeid, failures)]
    if listed and not _selects_single_tests(config):
        items[:] = [item for item in items if item not in listed]
        config.hook.pytest_deselected(items=listed)


def pytest_terminal_summary(terminalreporter):
    """Print the known failures and the evidence for each promise."""
    for failure in read_known_failures():
        terminalreporter.write_line(f"known failure: {failure.text}")
    if not _evidence:
        return
    terminalreporter.section("promises")
    for number, found in sorted(_evidence.items()):
        faults = ", ".join(f"{n} {name}" for name, n in sorted(found.faults.items()))
        terminalreporter.write_line(
            f"promise {number}: {found.operations} operations checked, "
            f"{found.violations} violations "
            f"({found.violations_with_mechanism_off} with the mechanism off); "
            f"faults: {faults or 'none'}"
        )
        for note in found.notes:
            terminalreporter.write_line(f"  {note}")


def _has_file(config, file: str) -> bool:
    return (config.rootpath / file).exists()


def _selects_single_tests(config) -> bool:
    """Return whether any argument on the command line is the id of a single test."""
    return any("::" in argument for argument in config.args)
