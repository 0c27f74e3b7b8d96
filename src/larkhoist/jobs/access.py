"""Decide which callers may know of a job.

A job belongs to the queue that accepted it and to the customer of the call that
submitted it. On a public queue, calls need no customer.
"""

from larkhoist.codes import Code
from larkhoist.jobs.registry import StagedJobEntry

__all__ = ["find_refusal"]


def find_refusal(entry: StagedJobEntry, queue: str, customer: str) -> Code | None:
    """Return why a call may not know of a job, None if it may.

    ``queue`` is the queue that the call was admitted to and ``customer`` its customer,
    empty if it has none. ``JOB_UNKNOWN`` does not tell that the job exists.
    """
    if customer and customer == entry.customer:
        return None
    if entry.queue and entry.queue != queue:
        return Code.JOB_UNKNOWN
    if not entry.customer:
        return None
    if customer:
        return Code.NOT_YOURS
    # Builds from before the queue in the outcome don't record it.
    return None if entry.queue else Code.JOB_UNKNOWN
