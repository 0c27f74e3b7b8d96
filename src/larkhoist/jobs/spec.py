"""Define staged jobs: steps of identical tasks, ordered by dependencies."""

import msgspec

from larkhoist.ports.fleet import Resources

__all__ = ["JobTerms", "StagedJob", "StepSpec", "make_task_name"]


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of ``count`` identical tasks.

    ``estimate_ms`` is the submitter's estimate of a task's duration and may be far off.
    ``spread_limit`` limits how many tasks of the step run on one worker at a time (0:
    no limit). ``max_away`` limits how many tasks of a long-running step may be away at
    a time because the owner stopped them (0: no limit). A step with ``fills`` reserves
    no processor time and uses what other tasks leave idle.
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
    max_away: int = 0

    @property
    def need(self) -> Resources:
        """Return the resources that one task reserves on its worker."""
        cpu_milli = 0 if self.fills else self.cpu_milli
        return Resources(cpu_milli, self.memory_mb, self.accelerators)


class JobTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """Settings of the job's queue at the time the job was accepted.

    Priority 0 is the most urgent. The latency objective is ``stretch`` times the
    longest chain of dependent steps plus ``target_ms``.
    """

    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0


class StagedJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """One accepted job; times are in milliseconds since the Unix epoch.

    A scheduled job runs all its steps ``runs`` times, every ``interval_ms`` from
    ``first_run_ms`` on. With ``runs`` 0 the job runs once, immediately.
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
        """Return the number of runs."""
        return max(1, self.runs)

    def get_due_ms(self, run: int) -> int:
        """Return the time from which a run may start."""
        if self.runs == 0:
            return self.submitted_ms
        return self.first_run_ms + run * self.interval_ms


def make_task_name(job_id: str, run: int, step: int, index: int) -> str:
    """Return the name under which workers run a task."""
    return f"{job_id}.{run}.{step}.{index}"
