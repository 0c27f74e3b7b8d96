"""Check the answers that callers got against what the runners executed."""

from collections import Counter
from dataclasses import dataclass

from larkhoist.codes import Code, is_not_run

__all__ = ["CallRecord", "Violation", "check_requests"]


@dataclass(frozen=True)
class CallRecord:
    """One submission: ``marker`` is unique, ``key`` may be shared.

    ``code`` is 0 if the caller got no answer, and negative if no connection was made.
    """

    marker: str
    key: str
    repeatable: bool
    code: int
    answer_marker: str = ""


@dataclass(frozen=True)
class Violation:
    """Violation of the promise with the number ``promise``."""

    promise: int
    what: str


def check_requests(calls: list[CallRecord], executed: list[str]) -> list[Violation]:
    """Return every violation; ``executed`` holds one marker per execution."""
    counts = Counter(executed)
    violations: list[Violation] = []
    for call in calls:
        if call.code == Code.ANSWERED and call.answer_marker != call.marker:
            what = f"{call.marker} got the answer {call.answer_marker!r}"
            violations.append(Violation(3, what))
        if call.code and is_not_run(call.code) and counts[call.marker]:
            what = f"{call.marker} was told {call.code} and ran {counts[call.marker]}"
            violations.append(Violation(4, what))
    by_key: Counter[str] = Counter()
    for call in calls:
        if not call.repeatable:
            by_key[call.key] += counts[call.marker]
    violations += [
        Violation(5, f"key {key} ran {count} times")
        for key, count in by_key.items()
        if count > 1
    ]
    return violations
