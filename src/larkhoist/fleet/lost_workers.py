"""Remember the workers of which it is unknown whether they crashed or were cut off.

When a lease ends, either may have happened. An answer of the same incarnation proves
later that the worker was only cut off, another incarnation in its place that it
crashed. Each task holds its own losses (``UnsettledLoss``); the index finds the tasks
by incarnation.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from larkhoist.fleet.incarnation import Incarnation

__all__ = ["LostIncarnation", "LostWorkerIndex", "UnsettledLoss"]

SETTLEMENT_TIMEOUT_S = 60.0
"""How long a task that has lost too many workers waits to learn whether they crashed.
It keeps both promises meanwhile: no job fails because its workers were cut off, and no
task that crashes its workers starts without end."""


@dataclass(frozen=True, slots=True)
class LostIncarnation:
    """An incarnation of a worker whose lease has ended.

    ``started_ms`` is its start time in Unix milliseconds, 0 if unknown.
    """

    worker: str
    address: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class UnsettledLoss:
    """A worker that crashed or was cut off while it was assigned a task.

    ``lost_s`` is when its lease ended, in monotonic seconds. ``may_be_crash`` is set if
    the task was seen to run on a worker that was not leaving, ``is_newest`` if it was
    among the tasks that began there last, ``is_unseen`` if the loss is counted in
    ``LostWorkers.unseen``. ``is_overdue`` is set once no proof has come for
    ``SETTLEMENT_TIMEOUT_S``; until one comes, the loss then counts as a crash.
    """

    incarnation: LostIncarnation
    lost_s: float
    may_be_crash: bool = False
    is_newest: bool = False
    is_unseen: bool = False
    is_overdue: bool = False

    def is_overdue_at(self, now_s: float) -> bool:
        """Tell whether no proof has come in time."""
        return now_s >= self.lost_s + SETTLEMENT_TIMEOUT_S


@dataclass(slots=True)
class _LostTasks:
    """The names of the tasks that an incarnation was lost under.

    ``lost_s`` is when the last one was, in monotonic seconds.
    """

    lost_s: float
    tasks: set[str] = field(default_factory=set)
    is_overdue: bool = False


class LostWorkerIndex:
    """Find the tasks whose losses an answer settles."""

    def __init__(self):
        self._lost: dict[str, dict[LostIncarnation, _LostTasks]] = {}

    def add(self, task: str, loss: UnsettledLoss) -> None:
        """Add a loss of a task."""
        incarnations = self._lost.setdefault(loss.incarnation.worker, {})
        found = incarnations.setdefault(loss.incarnation, _LostTasks(loss.lost_s))
        found.lost_s = max(found.lost_s, loss.lost_s)
        found.tasks.add(task)
        found.is_overdue = False

    def discard(self, task: str, losses: Iterable[UnsettledLoss]) -> None:
        """Remove losses of a task."""
        for loss in losses:
            found = self._lost.get(loss.incarnation.worker, {}).get(loss.incarnation)
            if found is None:
                continue
            found.tasks.discard(task)
            if not found.tasks:
                self.take(loss.incarnation)

    def take(self, incarnation: LostIncarnation) -> set[str]:
        """Remove an incarnation; return the tasks that it was lost under."""
        incarnations = self._lost.get(incarnation.worker, {})
        found = incarnations.pop(incarnation, None)
        if not incarnations:
            self._lost.pop(incarnation.worker, None)
        return found.tasks if found is not None else set()

    def list_cut_off(self, worker: str, started_ms: int) -> list[LostIncarnation]:
        """Return the incarnations that an answer proves to have been cut off.

        ``started_ms`` is the start time of the incarnation that answered, in Unix
        milliseconds, 0 if unknown.
        """
        return [
            lost
            for lost in self._lost.get(worker, ())
            if not Incarnation(lost.started_ms).is_other(started_ms)
        ]

    def list_crashed(
        self, name: str, started_ms: int, address: str
    ) -> list[LostIncarnation]:
        """Return the incarnations that a later one shows as crashed.

        These are those of the same name with another start time, and those of other
        names at the same address. ``started_ms`` is the start time of the later one in
        Unix milliseconds, 0 if unknown.
        """
        return [
            lost
            for incarnations in self._lost.values()
            for lost in incarnations
            if (
                Incarnation(lost.started_ms).is_other(started_ms)
                if lost.worker == name
                else lost.address and lost.address == address
            )
        ]

    def take_overdue(self, now_s: float) -> set[str]:
        """Return the tasks whose losses have become overdue since the last call."""
        tasks: set[str] = set()
        for incarnations in self._lost.values():
            for lost in incarnations.values():
                if not lost.is_overdue and now_s >= lost.lost_s + SETTLEMENT_TIMEOUT_S:
                    lost.is_overdue = True
                    tasks |= lost.tasks
        return tasks
