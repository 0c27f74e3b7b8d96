"""Find the reasons why workers get no new tasks."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum

from larkhoist.fleet.state import FleetState
from larkhoist.fleet.worker import FleetWorker

__all__ = ["Exclusion", "count_exclusions", "find_exclusion", "format_exclusions"]


class Exclusion(Enum):
    """The reasons why a worker gets no new tasks; the first that applies counts."""

    UNLISTED = "unlisted"
    LEAVING = "leaving"
    SILENT = "silent"
    UNHEARD = "unheard"
    CORDONED = "cordoned"
    QUARANTINED = "quarantined"
    IN_DOUBT = "in_doubt"
    PAUSED = "paused"


def find_exclusion(
    state: FleetState, worker: FleetWorker, now_s: float
) -> Exclusion | None:
    """Return why a worker gets no new tasks, None if it may get some."""
    checks = (
        (not worker.listed, Exclusion.UNLISTED),
        (worker.leaving, Exclusion.LEAVING),
        (worker.silent, Exclusion.SILENT),
        (worker.heard_s == float("-inf"), Exclusion.UNHEARD),
        (state.is_cordoned(worker), Exclusion.CORDONED),
        (state.quarantine.holds(worker.name, now_s), Exclusion.QUARANTINED),
        (state.doubts.is_in_doubt(worker.hall, worker.heard_s), Exclusion.IN_DOUBT),
        (now_s < worker.paused_until_s, Exclusion.PAUSED),
    )
    return next((reason for applies, reason in checks if applies), None)


def count_exclusions(
    state: FleetState, workers: Iterable[FleetWorker], now_s: float
) -> Counter[Exclusion]:
    """Return how many of the workers get no new tasks, by reason."""
    reasons = (find_exclusion(state, worker, now_s) for worker in workers)
    return Counter(reason for reason in reasons if reason is not None)


def format_exclusions(counts: Counter[Exclusion]) -> str:
    """Return the counts for a log line, as ``leaving:1,silent:2``."""
    by_name = sorted((reason.value, count) for reason, count in counts.items())
    return ",".join(f"{name}:{count}" for name, count in by_name)
