"""Hold the bounds that the scheduler of staged jobs decides by."""

from dataclasses import dataclass

__all__ = ["FleetPolicy"]


@dataclass(frozen=True, slots=True)
class FleetPolicy:
    """Hold times in seconds; the platform's settings give the first three.

    ``lease_s`` is the longest lease of a worker, ``clock_drift`` how much slower
    its clock may run, ``predecessor_s`` how long an owner that lost touch with the
    log goes on renewing leases, ``stop_s`` how long a worker may take to stop.

    Urgent work beyond a guarantee may throw away ``timely_work_ratio`` times its
    own work where it is still in time after the stops, else ``late_work_ratio``: by
    the users' prices it earns some 3.6 times what redoing as much work costs, and a
    fifth of that when late.

    While less than ``idle_share`` of the workers' room is used, guarantees keep
    nobody waiting, and nothing waits for longer than ``idle_wait_s`` for a better
    place; the users allow 3 s at half of the room.
    """

    lease_s: float = 10.0
    clock_drift: float = 0.02
    predecessor_s: float = 8.0
    lease_slack_s: float = 0.3
    resend_stop_s: float = 0.7
    gang_patience_s: float = 2.0
    full_pause_s: float = 0.5
    stop_s: float = 0.9
    timely_work_ratio: float = 3.0
    late_work_ratio: float = 0.5
    idle_share: float = 0.5
    idle_wait_s: float = 2.4
    late_ratio: float = 3.0

    @property
    def lapse_s(self) -> float:
        """Return after how long a lease that is not renewed is surely over."""
        return self.lease_s * (1 + self.clock_drift) + self.lease_slack_s
