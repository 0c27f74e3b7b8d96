"""Order the waiting jobs of a data hall."""

from larkhoist.scheduling.hall_job import HallJob

__all__ = ["get_queue_key"]

MIN_WAIT_S = 1.0


def get_queue_key(job: HallJob, now_s: float) -> tuple[int, float, str]:
    """Return the sort key of a waiting job; the smallest goes first.

    Urgent jobs go first, then those within a guarantee, then all others. Within each
    group the order is by waiting time, weighted by size because larger gangs find room
    less often.
    """
    if job.spec.urgent:
        rank = 0
    elif job.firm:
        rank = 1
    else:
        rank = 2
    weight = 1 + job.spec.total.bit_length()
    wait_s = now_s - job.submitted_s + MIN_WAIT_S
    return rank, -wait_s * weight, job.spec.job_id
