"""Decide which placement preferences an overdue phase may ignore.

Preferences can keep a phase waiting although there is free room: a single rack, the
rack of its data, workers on which it has not failed, room kept for guarantees or urgent
work, reservations and quarantine. The preferred room may never become free, so every
preference ends after some time. Rules (leases, spread limits, labels) always hold.
"""

from dataclasses import dataclass

from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.ports.fleet import Resources

__all__ = [
    "SPARE_ROOM_FACTOR",
    "Leeway",
    "count_together",
    "get_failure_free_s",
    "make_leeway",
]

SPARE_ROOM_FACTOR = 2
"""Most preferences end only if there is room for this many times the tasks that start
together. The limits on how long a phase may wait apply only then."""
PROBE_AFTER_S = 2.0
"""Time without failures after which a worker in quarantine may be tried by an overdue
phase that finds no other room."""
RISKY_PROBE_AFTER_S = 6.0
"""The same for a phase whose job would end after one more failure, and for any phase
where most room is in use. Faults that make all tasks of a worker fail last 4 to 7 s."""
PROBE_ANY_AFTER_S = 2.5
"""After this wait a phase no longer requires a time without failures, if at least half
of some resource is idle. It must start within 3 s, and reports and a start take up to
0.5 s; without this limit, phases with one attempt left waited for up to 6.0 s in 3 of
3,000 random runs. Only the wait under the present owner counts, since quarantines are
not handed on."""


@dataclass(frozen=True, slots=True)
class Leeway:
    """Which preferences a phase may ignore, given its wait and the room that there is.

    ``overdue`` tells that the phase has waited for as long as preferences may delay it,
    ``fits_twice`` that there is room for two of its tasks, or for its gang twice,
    ``some_idle`` that at most half of some resource that it needs is in use,
    ``all_idle`` that this holds for all of them. ``failure_free_s`` is the time
    without failures after which a worker in quarantine may be tried.
    """

    overdue: bool = False
    fits_twice: bool = False
    some_idle: bool = False
    all_idle: bool = False
    failure_free_s: float = RISKY_PROBE_AFTER_S

    @property
    def any_worker(self) -> bool:
        """Tell whether a phase may use room kept for guarantees and urgent work.

        This does not include reserved workers, which only phases with no running tasks
        may use, one task at a time: with other phases there, a gang waited for 14 s
        instead of 5 s.
        """
        return self.fits_twice and self.some_idle

    @property
    def probe_failure_free_s(self) -> float:
        """Return the time without failures required to try a worker in quarantine.

        Where most room is in use, many phases try such workers, and a job that fails
        there may fail for good.
        """
        return self.failure_free_s if self.any_worker else RISKY_PROBE_AFTER_S

    @property
    def any_rack(self) -> bool:
        """Tell whether a phase may leave its racks and use reserved workers.

        It runs three times as long in other racks. Where only some resources were idle,
        such as processors beside accelerators in full use, that cost 0.06 of the worth
        served (standard error 0.01), so at least half of every resource that the phase
        needs must be idle.
        """
        return self.all_idle


def make_leeway(
    phase: Phase,
    used: Resources,
    total: Resources,
    fitting: int,
    failure_free_s: float,
    policy: FleetPolicy,
) -> Leeway:
    """Return the leeway of an overdue phase; ``fitting`` of its tasks have room now.

    ``used`` and ``total`` are its service's room. Each resource is compared separately:
    where processors or memory ran out first, accelerators were left free for up to 20 s
    while phases waited for room kept for guarantees.
    """
    need = phase.need
    needed = (
        (need.cpu_milli, used.cpu_milli, total.cpu_milli),
        (need.memory_mb, used.memory_mb, total.memory_mb),
        (need.accelerators, used.accelerators, total.accelerators),
    )
    idle = [have <= policy.idle_share * of for wanted, have, of in needed if wanted]
    fits_twice = fitting >= SPARE_ROOM_FACTOR * count_together(phase)
    return Leeway(True, fits_twice, any(idle), all(idle), failure_free_s)


def get_failure_free_s(active: ActiveJob, phase: Phase, now_s: float) -> float:
    """Return how long a worker in quarantine must have been free of failures."""
    waited_s = now_s - max(phase.unserved_since_s, phase.known_since_s)
    if waited_s >= PROBE_ANY_AFTER_S:
        return 0.0
    if _is_last_attempt(active, phase):
        return RISKY_PROBE_AFTER_S
    return PROBE_AFTER_S


def count_together(phase: Phase) -> int:
    """Return the least number of tasks that start together: one, or a whole gang."""
    return len(phase.tasks) if phase.spec.gang else 1


def _is_last_attempt(active: ActiveJob, phase: Phase) -> bool:
    """Tell whether one more failure of a task would end the job."""
    if phase.spec.long_running:
        return False
    most = active.job.terms.max_attempts
    return any(task.failures + 1 >= most for task in phase.get_waiting())
