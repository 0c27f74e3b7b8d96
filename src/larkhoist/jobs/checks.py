"""Check a job before it is accepted.

A job that can't be scheduled must not reach the log: scheduling would fail at each
owner that reads it, one after the other.
"""

from collections.abc import Iterator

from larkhoist.codes import Code
from larkhoist.jobs.spec import StagedJob, StepSpec
from larkhoist.problem import Problem

__all__ = ["check_job"]

MAX_STEP_TASKS = 3_000
"""The progress of a step is one record of about 80 bytes per task; the log accepts at
most 256 KB."""
MAX_JOB_TASKS = 100_000
"""Limit over all runs of a job; half the tasks that 19,000 workers run at once."""


def check_job(job: StagedJob) -> Problem | None:
    """Return the first fault of a job with its field, value and remedy, if any."""
    for fault in _find_faults(job):
        return Problem(Code.INVALID_VALUE, detail=fault)
    return None


def _find_faults(job: StagedJob) -> Iterator[str]:
    if not job.steps:
        yield "steps: none; give at least one"
    if job.runs < 0:
        yield f"runs: {job.runs}; give 0 for one run at once, or more"
    if job.interval_ms < 0:
        yield f"interval_ms: {job.interval_ms}; give 0 or more"
    for number, step in enumerate(job.steps):
        yield from _find_step_faults(number, step)
    tasks = job.run_count * sum(step.count for step in job.steps)
    if tasks > MAX_JOB_TASKS:
        yield f"runs: {job.runs} of {tasks} tasks in all; give at most {MAX_JOB_TASKS}"


def _find_step_faults(number: int, step: StepSpec) -> Iterator[str]:
    place = f"steps[{number}]"
    if not 1 <= step.count <= MAX_STEP_TASKS:
        yield f"{place}.count: {step.count}; give 1 to {MAX_STEP_TASKS}"
    for before in step.depends_on:
        if not 0 <= before < number:
            yield f"{place}.depends_on: {before}; name steps before it, from 0 on"
    for field in ("cpu_milli", "memory_mb", "accelerators", "estimate_ms"):
        value = getattr(step, field)
        if value < 0:
            yield f"{place}.{field}: {value}; give 0 or more"
    for field in ("spread_limit", "max_away"):
        value = getattr(step, field)
        if value < 0:
            yield f"{place}.{field}: {value}; give 0 for no limit, or more"
