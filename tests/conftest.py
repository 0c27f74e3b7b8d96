"""Share clusters, gather the evidence for the promises, pass over known failures."""

from collections import Counter
from dataclasses import dataclass, field

import pytest

from demo.cluster import ClusterShape, create_cluster
from tests.known_failures import find_unmatched, is_listed, read_known_failures

QUICK_STOP = {"drain_notice_s": 0.05}


@dataclass
class Evidence:
    """Hold what was checked for one promise."""

    faults: Counter = field(default_factory=Counter)
    operations: int = 0
    violations: int = 0
    violations_without: int = 0
    notes: list[str] = field(default_factory=list)


_evidence: dict[int, Evidence] = {}


@pytest.fixture
def evidence(request):
    """Return the evidence of the promise that the test is marked with."""
    number = request.node.get_closest_marker("promise").args[0]
    return _evidence.setdefault(number, Evidence())


@pytest.fixture
async def start_cluster():
    """Return a function that starts a cluster; all are closed after the test."""
    clusters = []

    async def start(daemon="larkhoist.daemon.main", settings=None, **shape):
        settings = dict(settings or {})
        settings["timing"] = QUICK_STOP | settings.get("timing", {})
        cluster = create_cluster(ClusterShape(**shape, settings=settings), daemon)
        clusters.append(cluster)
        await cluster.start()
        return cluster

    yield start
    for cluster in clusters:
        await cluster.close()


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
    """Print the known failures, and a line of evidence for each promise."""
    for one in read_known_failures():
        terminalreporter.write_line(f"known failure: {one.text}")
    if not _evidence:
        return
    terminalreporter.section("promises")
    for number, found in sorted(_evidence.items()):
        faults = ", ".join(f"{n} {name}" for name, n in sorted(found.faults.items()))
        terminalreporter.write_line(
            f"promise {number}: {found.operations} operations checked, "
            f"{found.violations} violations "
            f"({found.violations_without} with the mechanism off); "
            f"faults: {faults or 'none'}"
        )
        for note in found.notes:
            terminalreporter.write_line(f"  {note}")


def _has_file(config, file: str) -> bool:
    return (config.rootpath / file).exists()


def _chooses_single_tests(config) -> bool:
    """Tell whether tests are named one by one: these run, listed or not."""
    return any("::" in argument for argument in config.args)
