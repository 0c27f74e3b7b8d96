"""Order the waiting jobs of a data hall."""

from larkhoist.scheduling.hall_job import HallJob

__all__ = ["get_queue_key"]

SHORTEST_RUN_S = 1.0


def get_queue_key(
    job: HallJob, expected_s: float, now_s: float
) -> tuple[int, float, str]:
    """Return the sort key of a waiting job; the smallest goes first.

    Urgent jobs go first and guaranteed ones second. Among the others the ratio of
    response time to run time decides (highest response ratio next), so that short
    jobs pass and every wait makes its job grow.
    """
    if job.spec.urgent:
        rank = 0
    elif job.spec.guaranteed:
        rank = 1
    else:
        rank = 2
    run_s = max(expected_s, SHORTEST_RUN_S)
    ratio = (now_s - job.submitted_s + run_s) / run_s
    return rank, -ratio, job.spec.job_id
