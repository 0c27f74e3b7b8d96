"""Compute on which workers a step is on time, from their speed factors.

A worker of factor 2 takes twice the time of one of factor 1. Pure functions of the
job and a time.
"""

from collections.abc import Iterable

from larkhoist.fleet.ranking import get_objective_s
from larkhoist.fleet.runtimes import QueueRuntimes
from larkhoist.fleet.task import ActiveJob, DeclaredPaths, Phase
from larkhoist.jobs.spec import StagedJob

__all__ = ["get_expected_s", "get_latest_start_s", "get_max_factor"]

DECLARED_TIMES = QueueRuntimes()
"""Has no samples and so predicts the declared times. The mean of a queue does not tell
short steps, which are on time on slow workers, from long ones."""
MIN_WORK_S = 1e-3
"""Least expected time of a step, so that it can be divided by."""


def get_expected_s(work_s: float, factors: Iterable[float]) -> float:
    """Return the expected time of a step on workers with these factors.

    ``work_s`` is its time on a worker of factor 1. A gang is as slow as its slowest
    member, and a step ends with the last of its tasks.
    """
    return work_s * max(factors, default=1.0)


def get_max_factor(active: ActiveJob, phase: Phase, start_s: float) -> float:
    """Return the highest factor with which a step that starts then is on time.

    The steps that depend on it are expected to run on workers of factor 1. The result
    is 0 or less if there is no time left for the step itself.
    """
    work_s = _predict_s(active, phase)
    end_s = _get_latest_end_s(active, phase)
    return (end_s - start_s) / max(work_s, MIN_WORK_S)


def get_latest_start_s(
    active: ActiveJob, phase: Phase, factors: Iterable[float]
) -> float:
    """Return the latest start at which a step is on time on workers of these factors.

    The steps that depend on it are expected to run on workers of factor 1.
    """
    work_s = _predict_s(active, phase)
    end_s = _get_latest_end_s(active, phase)
    return end_s - get_expected_s(work_s, factors)


def _get_latest_end_s(active: ActiveJob, phase: Phase) -> float:
    paths = _get_declared_paths(active)
    objective_s = get_objective_s(active.job.terms, paths.whole_s)
    return phase.due_s + objective_s - paths.rests_s[phase.id.step]


def _get_declared_paths(active: ActiveJob) -> DeclaredPaths:
    """Return the paths of a job, which are computed once: declared times are fixed."""
    if active.declared_paths is None:
        active.declared_paths = _make_declared_paths(active.job)
    return active.declared_paths


def _make_declared_paths(job: StagedJob) -> DeclaredPaths:
    """Return the paths of a job, whose steps depend on earlier ones only."""
    rests_s = [0.0] * len(job.steps)
    whole_s = 0.0
    for number in range(len(job.steps) - 1, -1, -1):
        spec = job.steps[number]
        path_s = rests_s[number] + DECLARED_TIMES.predict(job.queue, spec.estimate_ms)
        whole_s = max(whole_s, path_s)
        for earlier in spec.depends_on:
            rests_s[earlier] = max(rests_s[earlier], path_s)
    return DeclaredPaths(whole_s, tuple(rests_s))


def _predict_s(active: ActiveJob, phase: Phase) -> float:
    return DECLARED_TIMES.predict(active.job.queue, phase.spec.estimate_ms)
