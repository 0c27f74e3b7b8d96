"""Check the workers' journals: every gang ran whole or not at all."""

from collections import defaultdict
from dataclasses import dataclass

__all__ = ["GangViolation", "TaskEvent", "check_gangs"]


@dataclass(frozen=True)
class TaskEvent:
    """State change of one member of a gang; ``at_s`` is in seconds."""

    at_s: float
    job_id: str
    attempt: int
    member: int
    event: str


@dataclass(frozen=True)
class GangViolation:
    """Violation of a promise by one attempt of a gang."""

    job_id: str
    attempt: int
    what: str


def check_gangs(
    events: list[TaskEvent], sizes: dict[str, int], window_s: float, end_s: float
) -> list[GangViolation]:
    """Return every violation.

    Three things are checked: no member starts before all were prepared, a part of
    a gang never runs for longer than ``window_s``, and no two attempts of one job
    run at the same time. A finished member does not make its gang partial.
    """
    by_attempt: dict[tuple[str, int], list[TaskEvent]] = defaultdict(list)
    for event in sorted(events, key=lambda event: event.at_s):
        by_attempt[(event.job_id, event.attempt)].append(event)
    violations: list[GangViolation] = []
    for (job_id, attempt), history in by_attempt.items():
        for what in _check_attempt(history, sizes[job_id], window_s, end_s):
            violations.append(GangViolation(job_id, attempt, what))
    return violations + _check_overlap(by_attempt, end_s)


def _check_attempt(history, size, window_s, end_s) -> list[str]:
    prepared: set[int] = set()
    running: set[int] = set()
    finished: set[int] = set()
    found: list[str] = []
    partial_since_s: float | None = None
    for event in history:
        if event.event == "prepared":
            prepared.add(event.member)
        elif event.event in ("running", "throttled"):
            if len(prepared) < size and not running:
                found.append(f"started with {len(prepared)} of {size} prepared")
            running.add(event.member)
        else:
            running.discard(event.member)
            if event.event == "finished":
                finished.add(event.member)
        partial = bool(running) and len(running | finished) < size
        if partial and partial_since_s is None:
            partial_since_s = event.at_s
        elif not partial and partial_since_s is not None:
            _report_partial(found, event.at_s - partial_since_s, window_s)
            partial_since_s = None
    if partial_since_s is not None:
        _report_partial(found, end_s - partial_since_s, window_s)
    return found


def _report_partial(found: list[str], lasted_s: float, window_s: float) -> None:
    if lasted_s > window_s:
        found.append(f"ran in part for {lasted_s:.2f} s, over {window_s:.2f} s")


def _check_overlap(by_attempt, end_s) -> list[GangViolation]:
    spans: dict[str, list[tuple[float, float, int]]] = defaultdict(list)
    for (job_id, attempt), history in by_attempt.items():
        starts = {e.member: e.at_s for e in history if e.event == "running"}
        if not starts:
            continue
        ended = _get_ends(history)
        ends = [ended.get(member, end_s) for member in starts]
        spans[job_id].append((min(starts.values()), max(ends), attempt))
    violations = []
    for job_id, found in spans.items():
        found.sort()
        for (_, end, _), (start, _, attempt) in zip(found, found[1:], strict=False):
            if start < end:
                what = "ran while another attempt ran"
                violations.append(GangViolation(job_id, attempt, what))
    return violations


def _get_ends(history) -> dict[int, float]:
    return {
        event.member: event.at_s
        for event in history
        if event.event in ("finished", "failed", "stopped", "lost")
    }
