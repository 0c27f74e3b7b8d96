"""Check a job before it is accepted.

What no owner could schedule must not come to the log: it would end the decisions of
each owner in turn.
"""

from collections.abc import Iterator

from larkhoist.codes import Code
from larkhoist.jobs.spec import StagedJob, StepSpec
from larkhoist.problem import Problem

__all__ = ["check_job"]

MOST_TASKS_OF_STEP = 3_000
"""Their progress is one record: some 80 bytes each, of 256 KB that the log takes."""
MOST_TASKS = 100_000
"""Of a job with all its runs; half of what runs at once on 19,000 workers."""


def check_job(job: StagedJob) -> Problem | None:
    """Return what is wrong with a job, naming the field, its value and a remedy."""
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
    if tasks > MOST_TASKS:
        yield f"runs: {job.runs} of {tasks} tasks in all; give at most {MOST_TASKS}"


def _find_step_faults(number: int, step: StepSpec) -> Iterator[str]:
    place = f"steps[{number}]"
    if not 1 <= step.count <= MOST_TASKS_OF_STEP:
        yield f"{place}.count: {step.count}; give 1 to {MOST_TASKS_OF_STEP}"
    for before in step.depends_on:
        if not 0 <= before < number:
            yield f"{place}.depends_on: {before}; name steps before it, from 0 on"
    for field in ("cpu_milli", "memory_mb", "accelerators", "estimate_ms"):
        value = getattr(step, field)
        if value < 0:
            yield f"{place}.{field}: {value}; give 0 or more"
    if step.spread_limit < 0:
        yield f"{place}.spread_limit: {step.spread_limit}; give 0 for no limit, or more"
