"""Share clusters, and gather the evidence for the promises."""

from collections import Counter
from dataclasses import dataclass, field

import pytest

from demo.cluster import ClusterShape, create_cluster

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


def pytest_terminal_summary(terminalreporter):
    """Print a line of evidence for each promise."""
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
