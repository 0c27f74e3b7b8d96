"""Define the limits that the scheduler of staged jobs uses in its decisions."""

from dataclasses import dataclass

from larkhoist.fleet.speeds import UNEVEN_RATIO
from larkhoist.ports.task_worker import CLOCK_DRIFT

__all__ = ["FleetPolicy"]


@dataclass(frozen=True, slots=True)
class FleetPolicy:
    """Limits of the scheduler of staged jobs.

    Times are in seconds. ``lease_s``, ``stop_s`` and ``restore_s`` are set from the
    settings of the platform.

    ``lease_s`` is the longest lease of a worker. ``cut_off_renewal_s`` is how long an
    owner that has lost contact with the log may go on renewing leases. ``stop_s`` is
    how long a worker may take to stop a task.

    ``departing_lease_s`` is the lease of a worker that is leaving, or that has been off
    the list of workers for ``unlisted_grace_s``. An entry that expired because the
    process that keeps the list was down is back within 2 s. Only the end of its lease
    proves that such a worker has ended, so a short lease lets its tasks restart
    elsewhere sooner. The lease is longer than the 1.3 s from an unanswered call to the
    next one.

    No task of a leaving worker may end by itself in the last ``departure_margin_s``
    before it may have left, so that its end is heard. The margin covers a step of the
    owner, the order to stop the task and the report of an end.

    A worker that refuses a start, for lack of room or another reason, gets no tasks for
    ``refused_pause_s``. The pause doubles with each refusal in a row, up to
    ``longest_refused_pause_s``: with a constant pause, tasks kept returning to four
    full workers while four others were empty.

    A task that writes checkpoints also writes one when it is stopped, so stopping it
    costs at most ``restore_s`` of work rather than all work since the last checkpoint.
    Counting it so gains 0.022 of the worth served (standard error 0.009).

    To make room for urgent work beyond a guarantee, stops may lose up to
    ``timely_work_ratio`` times its own work if it can still be in time after them,
    else ``late_work_ratio`` times. In time it earns about 3.6 times what redoing as
    much work costs, when late a fifth of that. ``timely_work_ratio`` times its work is
    also the cost added when urgent work itself is stopped for guaranteed work.

    A gang that has waited for ``reserve_after_s`` gets reserved workers, as long as no
    more than ``reserved_share`` of all usable workers are reserved. With a larger
    share, the room left idle costs more than the gangs earn: 0.3 and 0.5 lose 0.020 and
    0.015 of the worth served against 0.15 (standard error 0.009 each).

    While less than ``idle_share`` of the workers' room is in use, no room is kept for
    guarantees and urgent work. A phase of which no task has started for
    ``longest_wait_s`` may ignore preferences (``fleet/leeway.py``): it must start
    within 3 s, and reports and starts take up to 0.6 s. A new owner applies the
    preferences for at least ``taken_over_wait_s``, in which the workers answer.

    With ``progress_blocks``, the progress of wide steps is written in blocks, of which
    only the changed ones are written.

    Workers count as uneven while the 80th percentile of their speed factors is at least
    ``uneven_ratio`` times the 20th.
    """

    lease_s: float = 10.0
    cut_off_renewal_s: float = 8.0
    lease_slack_s: float = 0.3
    departing_lease_s: float = 2.0
    departure_margin_s: float = 0.2
    unlisted_grace_s: float = 2.5
    resend_stop_s: float = 0.7
    refused_pause_s: float = 0.5
    longest_refused_pause_s: float = 4.0
    stop_s: float = 0.9
    timely_work_ratio: float = 3.0
    late_work_ratio: float = 0.5
    idle_share: float = 0.5
    longest_wait_s: float = 2.0
    taken_over_wait_s: float = 0.3
    late_ratio: float = 3.0
    restore_s: float = 0.25
    reserve_after_s: float = 0.5
    reserved_share: float = 0.15
    progress_blocks: bool = False
    uneven_ratio: float = UNEVEN_RATIO

    @property
    def lapse_s(self) -> float:
        """Return the time after which the longest lease has certainly ended."""
        return self.get_lapse_s(self.lease_s)

    def get_lapse_s(self, lease_s: float) -> float:
        """Return the time after which a lease that is not renewed has certainly ended.

        The lease ends at a fixed time of the worker's clock, at most ``lease_s`` after
        the call that granted it was sent, however late the worker handles the call.
        """
        return lease_s / (1 - CLOCK_DRIFT) + self.lease_slack_s
