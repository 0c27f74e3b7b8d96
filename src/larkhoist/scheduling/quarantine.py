"""Keep work away from workers that fail every task."""

from dataclasses import dataclass, field

__all__ = ["FAILURES_TO_QUARANTINE", "Quarantine"]

FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
FIRST_PERIOD_S = 30.0
LONGEST_PERIOD_S = 600.0
MAX_SHARE = 0.25


@dataclass(slots=True)
class _Record:
    failures: int = 0
    jobs: set[str] = field(default_factory=set)
    until_s: float = 0.0
    failed_s: float = 0.0
    period_s: float = FIRST_PERIOD_S


class Quarantine:
    """Count failures by worker; at most a quarter of a hall is kept out.

    A worker comes back after a period that doubles with each return; its next
    task is the probe.
    """

    def __init__(self):
        self._records: dict[str, _Record] = {}

    def note_success(self, worker: str) -> None:
        """Note that a task ended well."""
        self._records.pop(worker, None)

    def note_failure(
        self, worker: str, job_id: str, worker_count: int, now_s: float
    ) -> bool:
        """Note a failed task; return whether the worker is now kept out."""
        record = self._records.setdefault(worker, _Record())
        record.failures += 1
        record.failed_s = now_s
        record.jobs.add(job_id)
        enough = record.failures >= FAILURES_TO_QUARANTINE
        if not enough or len(record.jobs) < JOBS_TO_QUARANTINE:
            return False
        if self.count(now_s) + 1 > max(1, int(worker_count * MAX_SHARE)):
            return False
        record.until_s = now_s + record.period_s
        record.period_s = min(record.period_s * 2, LONGEST_PERIOD_S)
        record.failures = FAILURES_TO_QUARANTINE - 1
        return True

    def forget(self, worker: str) -> None:
        """Drop the failures of a worker that is gone or restarted."""
        self._records.pop(worker, None)

    def holds(self, worker: str, now_s: float) -> bool:
        """Tell whether the worker is kept out."""
        record = self._records.get(worker)
        return record is not None and now_s < record.until_s

    def has_calmed(self, worker: str, after_s: float, now_s: float) -> bool:
        """Tell whether a worker with failures has had no other one for ``after_s``."""
        record = self._records.get(worker)
        return record is not None and now_s >= record.failed_s + after_s

    def count(self, now_s: float) -> int:
        """Return how many workers are kept out."""
        return sum(now_s < record.until_s for record in self._records.values())
