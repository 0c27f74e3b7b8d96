"""Quarantine workers on which tasks of more than one job fail in a row."""

from dataclasses import dataclass, field

__all__ = ["FAILURES_TO_QUARANTINE", "Quarantine"]

FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
INITIAL_PERIOD_S = 30.0
MAX_PERIOD_S = 600.0
MAX_SHARE = 0.25


@dataclass(slots=True)
class _FailureRecord:
    failures: int = 0
    jobs: set[str] = field(default_factory=set)
    until_s: float = 0.0
    failed_s: float = 0.0
    period_s: float = INITIAL_PERIOD_S


class Quarantine:
    """The failures of each worker; at most a quarter of a hall is quarantined.

    A quarantine ends after a period. If the next task on the worker fails too, it is
    quarantined again for twice as long.
    """

    def __init__(self):
        self._records: dict[str, _FailureRecord] = {}

    def note_success(self, worker: str) -> None:
        """Clear the failures of a worker on which a task succeeded."""
        self._records.pop(worker, None)

    def note_failure(
        self, worker: str, job_id: str, worker_count: int, now_s: float
    ) -> bool:
        """Count a failed task; return whether that quarantines the worker."""
        record = self._records.setdefault(worker, _FailureRecord())
        record.failures += 1
        record.failed_s = now_s
        record.jobs.add(job_id)
        enough = record.failures >= FAILURES_TO_QUARANTINE
        if not enough or len(record.jobs) < JOBS_TO_QUARANTINE:
            return False
        if self.count(now_s) + 1 > max(1, int(worker_count * MAX_SHARE)):
            return False
        record.until_s = now_s + record.period_s
        record.period_s = min(record.period_s * 2, MAX_PERIOD_S)
        record.failures = FAILURES_TO_QUARANTINE - 1
        return True

    def forget(self, worker: str) -> None:
        """Clear the failures of a worker that was removed or restarted."""
        self._records.pop(worker, None)

    def holds(self, worker: str, now_s: float) -> bool:
        """Tell whether the worker is quarantined."""
        record = self._records.get(worker)
        return record is not None and now_s < record.until_s

    def has_been_failure_free(self, worker: str, after_s: float, now_s: float) -> bool:
        """Tell whether a worker's last failure was at least ``after_s`` ago.

        False for a worker without failures.
        """
        record = self._records.get(worker)
        return record is not None and now_s >= record.failed_s + after_s

    def count(self, now_s: float) -> int:
        """Return the number of quarantined workers."""
        return sum(now_s < record.until_s for record in self._records.values())
