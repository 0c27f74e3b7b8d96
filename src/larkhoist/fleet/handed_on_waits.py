"""Restore since when a step waits from the progress that former owners recorded."""

from collections.abc import Mapping

from larkhoist.jobs.records import PhaseId, PhaseProgress
from larkhoist.jobs.spec import StagedJob

__all__ = ["find_wait_start_ms"]


def find_wait_start_ms(
    job: StagedJob, phase: PhaseId, recorded: Mapping[PhaseId, PhaseProgress]
) -> int | None:
    """Return since when a step waits, in Unix milliseconds, or None if it is unknown.

    A step without recorded progress waits since the last of its dependencies was done,
    or since the job was submitted if it has none.
    """
    dependencies = job.steps[phase.step].depends_on
    if phase in recorded:
        progresses = [recorded[phase]]
    elif dependencies:
        progresses = [
            recorded.get(PhaseId(phase.job_id, phase.run, step))
            for step in dependencies
        ]
    else:
        return job.submitted_ms
    if any(progress is None or not progress.since_ms for progress in progresses):
        return None
    return max(progress.since_ms for progress in progresses)
