"""Hold the bounds that the scheduler of staged jobs decides by."""

from dataclasses import dataclass

from larkhoist.ports.task_worker import CLOCK_DRIFT

__all__ = ["FleetPolicy"]


@dataclass(frozen=True, slots=True)
class FleetPolicy:
    """Hold times in seconds; the platform's settings give the first three.

    ``lease_s`` is the longest lease of a worker, ``predecessor_s`` how long an owner
    that lost touch with the log goes on renewing leases, ``stop_s`` how long a worker
    may take to stop.

    ``departing_lease_s`` is the lease of a worker that leaves, or has been off the
    list for ``unlisted_patience_s``: an entry that lapsed with the list's keeper is
    back within two seconds. Nothing but the end of its lease tells that such a
    worker has ended, so that a short one lets its tasks go on elsewhere sooner; it
    outlasts one call without an answer (1.3 s until the next).

    A worker that refuses a start, also for want of room, gets no other for
    ``refused_pause_s``, twice as long with each refusal in a row, at most
    ``longest_refused_pause_s``: with pauses of one length work came back to four full
    workers for ever, beside four empty ones.

    Work that keeps its progress is saved at a stop as well: stopping it costs
    ``restore_s`` of work at the most. Gains 0.022 of worth against all work since the
    last checkpoint (standard error 0.009, 48 replayed days of 50 workers in pairs).

    Urgent work beyond a guarantee may throw away ``timely_work_ratio`` times its
    own work where it is still in time after the stops, else ``late_work_ratio``: by
    the users' prices it earns some 3.6 times what redoing as much work costs, and a
    fifth of that when late.

    As much is counted as lost where urgent work itself is stopped for guarantees.

    A gang that has waited for ``reserve_after_s`` gets workers of its own, as long as
    not more than ``reserved_share`` of all are reserved: beyond, what they leave idle
    costs more than the gangs earn (0.15 against 0.3 and 0.5: 0.020 and 0.015 of worth,
    standard error of each against one base 0.009, 42 replayed days of 50 workers).

    While less than ``idle_share`` of the workers' room is used, guarantees keep
    nobody waiting. A phase of which nothing has started for ``longest_wait_s`` is no
    longer kept from room by preferences (``fleet/leeway.py``); the users allow 3 s, of
    which looks and starts take up to 0.6. A new owner keeps to them for at least
    ``taken_over_wait_s``, in which the workers answer.
    """

    lease_s: float = 10.0
    predecessor_s: float = 8.0
    lease_slack_s: float = 0.3
    departing_lease_s: float = 2.0
    unlisted_patience_s: float = 2.5
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

    @property
    def lapse_s(self) -> float:
        """Return after how long the longest lease is surely over."""
        return self.get_lapse_s(self.lease_s)

    def get_lapse_s(self, lease_s: float) -> float:
        """Return after how long a lease that is not renewed is surely over.

        It ends at a time on the worker's clock that was at most ``lease_s`` ahead
        when the call was made, however late the call is carried out.
        """
        return lease_s / (1 - CLOCK_DRIFT) + self.lease_slack_s
