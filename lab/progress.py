"""Find work that stands still although it could run.

The input is what callers were told and what workers run, never the scheduler's own
state, so that errors in that state are found as well.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.fleet import Resources

__all__ = ["IdleStep", "Stall", "StallDetector", "WorkerRoom", "could_run"]

StepKey = tuple[str, int] | tuple[str, int, int]

MAX_IDLE_S = 3.0
"""How long a job that could run may have nothing running; a requirement."""
ROOM_FACTOR = 2
"""A step counts as able to run only if there is room for it this many times, while at
most 1 / ROOM_FACTOR of a resource is in use; a requirement."""


@dataclass(frozen=True, slots=True)
class WorkerRoom:
    """The capacity of a healthy worker that is not leaving, and the part in use."""

    name: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    used: Resources

    @property
    def free(self) -> Resources:
        """Return the resources that are not in use."""
        return self.capacity - self.used


@dataclass(frozen=True, slots=True)
class IdleStep:
    """A step that is ready to run, of a job that has nothing running.

    A long-running task is followed alone, by its index ``task``, whether or not others
    of its job run. ``taken`` maps workers to the number of the step's tasks that run
    there, because the spread limit bounds how many a worker holds at a time.
    """

    job: str
    step: int
    spec: StepSpec
    taken: dict[str, int] = field(default_factory=dict)
    task: int | None = None

    @property
    def key(self) -> StepKey:
        """Return the key that identifies the step or task."""
        whole = (self.job, self.step)
        return whole if self.task is None else (*whole, self.task)


@dataclass(frozen=True, slots=True)
class Stall:
    """A period in which a step, or one of its long-running tasks, stood still."""

    job: str
    step: int
    since_s: float
    until_s: float
    task: int | None = None

    @property
    def lasted_s(self) -> float:
        """Return the length of the period in seconds."""
        return self.until_s - self.since_s


class StallDetector:
    """Tracks steps that stand still; ``found`` holds those over ``longest_s``.

    ``any_rack`` also counts room in racks other than those that a step asked for.
    ``ignore_usage`` does so too, and ignores how much of all room is in use.
    """

    def __init__(
        self,
        longest_s: float = MAX_IDLE_S,
        *,
        any_rack: bool = False,
        ignore_usage: bool = False,
    ):
        self._longest_s = longest_s
        self._any_rack = any_rack
        self._ignore_usage = ignore_usage
        self._since_s: dict[StepKey, float] = {}
        self.found: dict[StepKey, Stall] = {}

    @property
    def longest_s(self) -> float:
        """Return the longest period found in seconds, 0 if there is none."""
        return max((one.lasted_s for one in self.found.values()), default=0.0)

    def look(
        self, now_s: float, rooms: Iterable[WorkerRoom], idle: Iterable[IdleStep]
    ) -> None:
        """Record the free room and the idle steps at ``now_s``."""
        snapshot = _RoomSnapshot(rooms)
        standing = {one.key: one for one in idle if self._could_run(one, snapshot)}
        for key in self._since_s.keys() - standing.keys():
            del self._since_s[key]
        for key, one in standing.items():
            since_s = self._since_s.setdefault(key, now_s)
            if now_s - since_s > self._longest_s:
                still = Stall(one.job, one.step, since_s, now_s, one.task)
                self._keep_longest(key, still)

    def _could_run(self, idle: IdleStep, snapshot: "_RoomSnapshot") -> bool:
        if self._ignore_usage:
            return snapshot.has_room_twice(idle)
        return snapshot.could_run(idle, any_rack=self._any_rack)

    def _keep_longest(self, key: StepKey, still: Stall) -> None:
        known = self.found.get(key)
        if known is None or still.lasted_s > known.lasted_s:
            self.found[key] = still


class _RoomSnapshot:
    """The room of all workers at one moment; caches counts that steps share."""

    def __init__(self, rooms: Iterable[WorkerRoom]):
        self._rooms = [(room, room.free) for room in rooms]
        self._fitting: dict[tuple[str, Resources], Counter[str]] = {}
        self._used = sum((room.used for room, _ in self._rooms), Resources())
        self._total = sum((room.capacity for room, _ in self._rooms), Resources())

    def has_room_twice(self, idle: IdleStep) -> bool:
        """Tell whether there is room for two such tasks, or for two whole gangs."""
        return self._count_by_rack(idle).total() >= _get_required_slots(idle)

    def could_run(self, idle: IdleStep, *, any_rack: bool) -> bool:
        """Tell whether a step could run, see the function ``could_run``."""
        spec = idle.spec
        underused = self._find_underused(spec.need)
        if not any(underused):
            return False
        restricted = spec.same_rack or spec.data_rack
        if any_rack or all(underused) or not restricted:
            return self.has_room_twice(idle)
        fitting = self._count_by_rack(idle)
        racks = [spec.data_rack] if spec.data_rack else list(fitting)
        most = max((fitting[rack] for rack in racks), default=0)
        return most >= _get_required_slots(idle)

    def _find_underused(self, need: Resources) -> list[bool]:
        """Tell for each required resource whether at most half of it is in use."""
        used, total = self._used, self._total
        resources = (
            (need.cpu_milli, used.cpu_milli, total.cpu_milli),
            (need.memory_mb, used.memory_mb, total.memory_mb),
            (need.accelerators, used.accelerators, total.accelerators),
        )
        return [have * ROOM_FACTOR <= of for wanted, have, of in resources if wanted]

    def _count_by_rack(self, idle: IdleStep) -> Counter[str]:
        if idle.spec.spread_limit:
            return self._sum_by_rack(idle)
        key = (idle.spec.label, idle.spec.need)
        if key not in self._fitting:
            self._fitting[key] = self._sum_by_rack(idle)
        return self._fitting[key]

    def _sum_by_rack(self, idle: IdleStep) -> Counter[str]:
        fitting: Counter[str] = Counter()
        for room, free in self._rooms:
            fitting[room.rack] += _count_fitting(idle, room, free)
        return fitting


def could_run(idle: IdleStep, rooms: Iterable[WorkerRoom]) -> bool:
    """Tell whether there is room twice over while at most half of the room is in use.

    The requirement does not say which of processors, memory and accelerators counts, so
    one resource that is at most half used is enough. Room in racks other than those
    that the step asked for, where it takes several times as long, counts only if every
    resource that it needs is at most half used.
    """
    return _RoomSnapshot(rooms).could_run(idle, any_rack=False)


def _get_required_slots(idle: IdleStep) -> int:
    return ROOM_FACTOR * (idle.spec.count if idle.spec.gang else 1)


def _count_fitting(idle: IdleStep, room: WorkerRoom, free: Resources) -> int:
    spec = idle.spec
    if spec.label and spec.label not in room.labels:
        return 0
    fitting = free.count_fitting(spec.need)
    if spec.spread_limit:
        left = spec.spread_limit - idle.taken.get(room.name, 0)
        fitting = min(fitting, max(0, left))
    return fitting
