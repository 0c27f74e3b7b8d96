"""Hold the scheduler's state of a worker."""

from dataclasses import dataclass, field

from larkhoist.fleet.departure import (
    Announced,
    Departure,
    Staying,
    Unannounced,
    announce,
    update_from_entry,
)
from larkhoist.fleet.incarnation import Incarnation
from larkhoist.ports.fleet import ListedTaskWorker, Resources

__all__ = ["FleetWorker", "create_worker"]


@dataclass(slots=True)
class FleetWorker:
    """Hold the room, lease and condition of a worker; times are monotonic seconds.

    ``free`` is the room that is neither used nor held for tasks that wait until others
    have stopped. It is negative if held room is still used by those others. After
    ``lease_end_s`` no task can run there, unless a lease is granted again;
    ``granted_end_s`` covers the leases of this owner only. ``heard_s`` is when this
    owner made the last call that was answered, ``silent_s`` when it made the one that
    first got no answer. ``announced_s`` is when it was first read that it leaves.

    ``departure`` tells whether and how it leaves, and ``refused_pause_s`` the length of
    the last pause after a refused start. ``seen`` is the number of the last end taken
    from its reports. ``strays`` holds, by task, the attempts that its last report named
    and that are to be stopped. ``was_leaving`` is set if its former incarnation had
    announced that it leaves.
    """

    name: str
    service: str
    hall: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    lease_end_s: float
    address: str = ""
    granted_end_s: float = float("-inf")
    listed: bool = True
    departure: Departure = Staying()
    silent: bool = False
    heard_s: float = float("-inf")
    silent_s: float = float("-inf")
    announced_s: float = float("-inf")
    paused_until_s: float = float("-inf")
    refused_pause_s: float = 0.0
    used: Resources = field(default_factory=Resources)
    tasks: set[str] = field(default_factory=set)
    seen: int = 0
    strays: dict[str, int] = field(default_factory=dict)
    strays_stopped_s: float = float("-inf")
    incarnation: Incarnation = field(default_factory=Incarnation)
    was_leaving: bool = False

    free: Resources = field(init=False)

    def __post_init__(self):
        self.free = self.capacity

    def update_entry(self, listed: ListedTaskWorker) -> None:
        """Set the attributes of a worker that was known by name only."""
        self.update_attributes(listed)
        self.capacity = listed.capacity
        self.free = self.capacity - self.used

    def has_restarted_since(self, started_ms: int) -> bool:
        """Tell whether the worker's start time is known to differ from ``started_ms``.

        A start time of 0 is unknown and never counts as a restart.
        """
        return self.incarnation.is_other(started_ms)

    def begin_incarnation(self, started_ms: int, now_s: float) -> None:
        """Discard the former incarnation's state; ends are numbered from 1 again."""
        self.incarnation = Incarnation(started_ms, now_s)
        self.was_leaving = self.leaving
        if self.leaving:
            self.departure = Staying() if self.listed else Unannounced(now_s)
        self.seen = 0
        self.strays = {}
        self.paused_until_s = float("-inf")
        self.refused_pause_s = 0.0

    def update_attributes(self, listed: ListedTaskWorker) -> None:
        """Update the service, location, labels and address from a listed entry."""
        self.service = listed.service
        self.hall = listed.hall
        self.rack = listed.rack
        self.labels = listed.labels
        self.address = listed.address

    def resize(self, capacity: Resources) -> None:
        """Set a new capacity; ``free`` becomes negative if the tasks exceed it."""
        self.free += capacity - self.capacity
        self.capacity = capacity

    def use(self, need: Resources) -> None:
        """Use room for a task that may run."""
        self.used += need
        self.free -= need

    def release_room(self, need: Resources) -> None:
        """Release the room of a task that is proved not to run."""
        self.used -= need
        self.free += need

    def hold(self, need: Resources) -> None:
        """Hold room for a waiting task, even if other tasks still use it."""
        self.free -= need

    def release_hold(self, need: Resources) -> None:
        """Release held room."""
        self.free += need

    @property
    def leaving(self) -> bool:
        """Tell whether the worker has announced that it leaves."""
        return isinstance(self.departure, Announced)

    def note_leaving(self, entry: ListedTaskWorker, now_s: float) -> bool:
        """Note an entry that announces a departure; return whether it is the first."""
        match self.departure:
            case Announced() as departure:
                self.departure = update_from_entry(departure, entry, now_s)
                return False
            case _:
                self.departure = announce(entry, now_s)
                self.announced_s = now_s
                return True

    def note_unlisted(self, now_s: float) -> None:
        """Note that its entry has left the list."""
        self.listed = False
        if not self.leaving:
            self.departure = Unannounced(now_s)

    def note_listed_again(self) -> None:
        """Note that its entry is back on the list."""
        self.listed = True
        if not self.leaving:
            self.departure = Staying()

    @property
    def announced_while_silent(self) -> bool:
        """Tell whether it announced its departure after it had become silent."""
        return self.leaving and self.silent and self.announced_s > self.silent_s

    @property
    def answered_unlisted(self) -> bool:
        """Tell whether it answered after it had left the list, unannounced."""
        match self.departure:
            case Unannounced(since_s):
                return since_s < self.heard_s
            case _:
                return False

    @property
    def was_unlisted_before_silent(self) -> bool:
        """Tell whether it left the list, unannounced, before it became silent."""
        match self.departure:
            case Unannounced(since_s):
                return since_s < self.silent_s
            case _:
                return False

    def has_left(self, now_s: float) -> bool:
        """Tell whether a worker that is gone stayed until its announced departure."""
        end_s = self.silent_s if self.silent else now_s
        match self.departure:
            case Announced(serves_until_s=until_s):
                return until_s is None or end_s >= until_s
            case _:
                return False

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new tasks may start there; it must have answered once."""
        return (
            self.listed
            and not self.leaving
            and not self.silent
            and self.heard_s > float("-inf")
            and now_s >= self.paused_until_s
        )


def create_worker(listed: ListedTaskWorker, lease_end_s: float) -> FleetWorker:
    """Return the state of a worker that was just listed."""
    return FleetWorker(
        listed.name,
        listed.service,
        listed.hall,
        listed.rack,
        listed.labels,
        listed.capacity,
        lease_end_s,
        listed.address,
    )
