"""Hold one incarnation of a worker as the scheduler sees it."""

from dataclasses import dataclass, field

from larkhoist.ports.fleet import ListedTaskWorker, Resources

__all__ = ["FleetWorker", "create_worker"]


@dataclass(slots=True)
class FleetWorker:
    """Hold a worker's room and how much is known of it; times are steady seconds.

    ``held`` is kept for tasks that wait until others have stopped. After
    ``lease_end_s`` nothing runs there unless a lease was renewed.
    """

    name: str
    service: str
    hall: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    lease_end_s: float
    listed: bool = True
    leaving: bool = False
    leaves_s: float | None = None
    silent: bool = False
    full_until_s: float = float("-inf")
    used: Resources = field(default_factory=Resources)
    held: Resources = field(default_factory=Resources)
    tasks: set[str] = field(default_factory=set)
    seen: int = 0

    @property
    def free(self) -> Resources:
        """Return what neither runs nor is held."""
        return self.capacity - self.used - self.held

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new tasks may go there."""
        return (
            self.listed
            and not self.leaving
            and not self.silent
            and now_s >= self.full_until_s
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
    )
