"""Describe staged jobs: steps of equal tasks that follow one another."""

import msgspec

from larkhoist.ports.fleet import Resources

__all__ = ["JobTerms", "StagedJob", "StepSpec", "make_task_name"]


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe one step of ``count`` equal tasks.

    ``estimate_ms`` is the submitter's guess and may be far off. ``spread_limit``
    bounds how many tasks of the step one worker has at a time (0: no bound). A step
    that ``fills`` uses only the processor time that others leave.
    """

    count: int
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    long_running: bool = False
    fills: bool = False

    @property
    def need(self) -> Resources:
        """Return what one task takes of its worker."""
        cpu_milli = 0 if self.fills else self.cpu_milli
        return Resources(cpu_milli, self.memory_mb, self.accelerators)


class JobTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold what the job's queue promised when the job was accepted.

    Priority 0 is the most urgent one. The latency objective is ``stretch`` times
    the longest chain of work plus ``target_ms``.
    """

    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0


class StagedJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one accepted job; times are in milliseconds since the Unix epoch.

    A scheduled job has ``runs`` runs of all its steps, ``interval_ms`` apart from
    ``first_run_ms`` on; any other has one run at once (``runs`` is 0).
    """

    job_id: str
    queue: str
    customer: str
    payload: str
    steps: tuple[StepSpec, ...]
    terms: JobTerms
    submitted_ms: int
    runs: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def run_count(self) -> int:
        """Return how often the steps run."""
        return max(1, self.runs)

    def get_due_ms(self, run: int) -> int:
        """Return when a run may begin."""
        if self.runs == 0:
            return self.submitted_ms
        return self.first_run_ms + run * self.interval_ms


def make_task_name(job_id: str, run: int, step: int, index: int) -> str:
    """Return the name that workers know a task by."""
    return f"{job_id}.{run}.{step}.{index}"
