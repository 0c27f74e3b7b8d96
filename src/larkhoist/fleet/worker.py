"""Hold one incarnation of a worker as the scheduler sees it."""

from dataclasses import dataclass, field

from larkhoist.fleet.incarnation import Incarnation
from larkhoist.ports.fleet import ListedTaskWorker, Resources

__all__ = ["FleetWorker", "create_worker"]


@dataclass(slots=True)
class FleetWorker:
    """Hold a worker's room and how much is known of it; times are steady seconds.

    ``free`` is what neither runs nor is held for tasks that wait until others have
    stopped; held room makes it negative while the others still run. After
    ``lease_end_s`` nothing runs there unless a lease was renewed; ``granted_end_s`` is
    the same for the leases of this owner alone. ``heard_s`` is when this owner made the
    last call that was answered, ``silent_s`` when it fell silent.
    ``unlisted_s`` is since when its entry is off the list, ``refused_pause_s`` how long
    the last refusal in a row has paused it; ``strays`` holds the attempts by task that
    its last report named and nobody wants. ``was_leaving`` is set if
    its former incarnation had announced that it leaves.
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
    leaving: bool = False
    leaves_s: float | None = None
    silent: bool = False
    heard_s: float = float("-inf")
    silent_s: float = float("-inf")
    unlisted_s: float | None = None
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

    def take_entry(self, listed: ListedTaskWorker) -> None:
        """Take over what the list tells of a worker that was known by name alone."""
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
        self.leaving = False
        self.leaves_s = None
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
        """Take over another room; what runs there may be more than fits by now."""
        self.free += capacity - self.capacity
        self.capacity = capacity

    def use(self, need: Resources) -> None:
        """Take room for a task that may run."""
        self.used += need
        self.free -= need

    def give_back(self, need: Resources) -> None:
        """Give back the room of a task that surely does not run."""
        self.used -= need
        self.free += need

    def hold(self, need: Resources) -> None:
        """Keep room that others still use."""
        self.free -= need

    def drop_hold(self, need: Resources) -> None:
        """Give back room that was kept."""
        self.free += need

    def is_departing(self, now_s: float, patience_s: float) -> bool:
        """Tell whether the worker leaves or has been off the list for some time."""
        if self.leaving:
            return True
        return self.unlisted_s is not None and now_s > self.unlisted_s + patience_s

    @property
    def has_gone_unsaid(self) -> bool:
        """Tell whether its entry had gone before it fell silent, without a word."""
        return self.unlisted_s is not None and self.unlisted_s < self.silent_s

    def has_left(self, now_s: float) -> bool:
        """Tell whether the worker, known to be gone, served as long as it had said."""
        if not self.leaving:
            return False
        gone_s = self.silent_s if self.silent else now_s
        return self.leaves_s is None or gone_s >= self.leaves_s

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new tasks may go there; what never answered gets none."""
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
