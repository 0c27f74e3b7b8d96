"""Tell from which preferences a phase that waits is free by now.

Preferences keep work from room that is free: racks of its own, the rack of its data,
workers on which it has not failed, room that guarantees or urgent work may need,
reservations, quarantine. What each of them waits for may never come, so that each ends
after a time as well; rules (leases, spread limits, labels) do not.
"""

from dataclasses import dataclass

from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.task import ActiveJob, Phase
from larkhoist.ports.fleet import Resources

__all__ = ["ROOM_OVER", "Leeway", "count_together", "get_calm_s", "make_leeway"]

ROOM_OVER = 2
"""How many times over there has to be room; the users ask no more."""
PROBE_AFTER_S = 2.0
"""After this time without a failure a worker in quarantine may be tried with work that
has waited for long and finds no other room."""
RISKY_PROBE_AFTER_S = 6.0
"""The same for work that would be given up after one more failure; what makes all tasks
of a worker fail lasts for 4 to 7 s on the users' machines."""
LONGEST_CALM_WAIT_S = 2.5
"""Work that an owner has seen wait for so long asks for no such time any more: the
users allow 3 s, of which looks and a start take up to 0.5. Without this end work with
one attempt left stood still for up to 6.0 s (3 of 3,000 drawn plays). What a former
owner saw does not count, since quarantines are not handed on."""


@dataclass(frozen=True, slots=True)
class Leeway:
    """Hold whether a phase has waited for as long as it may, and what room there is.

    ``fits_twice`` tells that there is room for one task, or the gang, twice over,
    ``some_idle`` that at most half is used of something that it needs, ``all_idle`` of
    everything. A worker in quarantine is tried that has failed nothing for ``calm_s``.
    """

    overdue: bool = False
    fits_twice: bool = False
    some_idle: bool = False
    all_idle: bool = False
    calm_s: float = RISKY_PROBE_AFTER_S

    @property
    def any_worker(self) -> bool:
        """Tell whether it may take what guarantees and urgent work may need.

        Reserved workers are not among it: what has nothing running may go there one
        task at a time, others made a gang wait for 14 s instead of 5 s.
        """
        return self.fits_twice and self.some_idle

    @property
    def probe_calm_s(self) -> float:
        """Return for how long a worker in quarantine that is tried has failed nothing.

        Where most is in use, probes are the rule rather than the exception, and what
        fails may fail for good.
        """
        return self.calm_s if self.any_worker else RISKY_PROBE_AFTER_S

    @property
    def any_rack(self) -> bool:
        """Tell whether it may leave its racks, and go to reserved workers.

        Elsewhere it runs three times as long. Where full accelerators stood beside idle
        processors that cost 0.06 of worth (standard error 0.01, 24 replayed days of 88
        workers in pairs), so that half of everything has to be idle.
        """
        return self.all_idle


def make_leeway(
    phase: Phase,
    used: Resources,
    total: Resources,
    fitting: int,
    calm_s: float,
    policy: FleetPolicy,
) -> Leeway:
    """Return the leeway of an overdue phase; ``fitting`` tasks find room now.

    ``used`` and ``total`` are its service's room. Of some resources most may be idle:
    while processor or memory ran out first, accelerators stood free for up to 20 s
    beside work that guarantees kept waiting.
    """
    need = phase.need
    needed = (
        (need.cpu_milli, used.cpu_milli, total.cpu_milli),
        (need.memory_mb, used.memory_mb, total.memory_mb),
        (need.accelerators, used.accelerators, total.accelerators),
    )
    idle = [have <= policy.idle_share * of for wanted, have, of in needed if wanted]
    fits_twice = fitting >= ROOM_OVER * count_together(phase)
    return Leeway(True, fits_twice, any(idle), all(idle), calm_s)


def get_calm_s(active: ActiveJob, phase: Phase, now_s: float) -> float:
    """Return for how long a worker in quarantine must have failed nothing."""
    waited_s = now_s - max(phase.unserved_since_s, phase.known_since_s)
    if waited_s >= LONGEST_CALM_WAIT_S:
        return 0.0
    if _is_last_attempt(active, phase):
        return RISKY_PROBE_AFTER_S
    return PROBE_AFTER_S


def count_together(phase: Phase) -> int:
    """Return how many tasks start together at least: one, or a whole gang."""
    return len(phase.tasks) if phase.spec.gang else 1


def _is_last_attempt(active: ActiveJob, phase: Phase) -> bool:
    """Tell whether one more failure of a task would end the job."""
    if phase.spec.long_running:
        return False
    most = active.job.terms.max_attempts
    return any(task.failures + 1 >= most for task in phase.get_waiting())
