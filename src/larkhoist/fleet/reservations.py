"""Keep whole workers for gangs that would otherwise never find room together.

Answers a load of many small tasks beside wide gangs: each gap goes to a small task at
once, so that the room of a gang never comes free in one rack at one time. A gang that
waits gets workers of its own, those that are expected to come free first; they stay
its own until it starts, ends or can't be in time any more.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from larkhoist.fleet.placing import WorkerGroup, count_fitting
from larkhoist.fleet.task import Phase, Task, TaskState
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.records import PhaseId
from larkhoist.ports.fleet import Resources

if TYPE_CHECKING:
    from larkhoist.fleet.state import FleetState

__all__ = ["Reservation", "Reservations"]


@dataclass(frozen=True, slots=True)
class Reservation:
    """Hold the names of workers kept for a phase, and when they should be free."""

    phase: PhaseId
    workers: frozenset[str]
    free_s: float


class Reservations:
    """Hold what is reserved from pass to pass."""

    def __init__(self):
        self._held: dict[PhaseId, Reservation] = {}
        self._holders: dict[str, PhaseId] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def get(self, phase: PhaseId) -> Reservation | None:
        """Return the reservation of a phase."""
        return self._held.get(phase)

    def is_open_to(self, worker: str, phase: PhaseId) -> bool:
        """Tell whether a worker is not reserved for another phase."""
        return self._holders.get(worker, phase) == phase

    def keep_only(self, waiting: set[PhaseId], usable: set[str]) -> None:
        """Drop what is reserved for phases that do not wait or lost a worker."""
        for phase, kept in list(self._held.items()):
            if phase not in waiting or not kept.workers <= usable:
                self.drop(phase)

    def drop_too_small(self, state: "FleetState") -> None:
        """Drop what a phase does not fit into beside tasks that last."""
        for phase_id, kept in list(self._held.items()):
            phases = state.jobs[phase_id.job_id].phases
            phase = phases[(phase_id.run, phase_id.step)]
            workers = [state.workers[name] for name in kept.workers]
            if count_drained_room(state, workers, phase) < len(phase.tasks):
                self.drop(phase_id)

    def drop(self, phase: PhaseId) -> None:
        """Give back what is reserved for a phase."""
        kept = self._held.pop(phase, None)
        if kept is not None:
            for name in kept.workers:
                del self._holders[name]

    def reserve(
        self,
        state: "FleetState",
        phase: Phase,
        groups: Iterable[WorkerGroup],
        most: int,
        now_s: float,
    ) -> Reservation | None:
        """Reserve the workers of one group that are expected to be free first.

        ``most`` bounds how many workers may be reserved in all.
        """
        count = len(phase.tasks)
        best: Reservation | None = None
        for group in groups:
            found = self._pick(state, phase, group, count, now_s)
            if found is None or len(found.workers) + len(self) > most:
                continue
            if best is None or found.free_s < best.free_s:
                best = found
        if best is None:
            return None
        self._held[phase.id] = best
        for name in best.workers:
            self._holders[name] = phase.id
        return best

    def _pick(self, state, phase: Phase, group: WorkerGroup, count: int, now_s):
        drains = [
            (get_drain_s(state, worker, phase, now_s), worker.name, worker)
            for worker in group.workers
            if worker.name not in self._holders
        ]
        drains.sort(key=lambda one: one[:2])
        names = set()
        room = 0
        for drain_s, name, worker in drains:
            fitting = count_drained_room(state, [worker], phase)
            if not fitting:
                continue
            names.add(name)
            room += fitting
            if room >= count:
                return Reservation(phase.id, frozenset(names), now_s + drain_s)
        return None


def get_drain_s(
    state: "FleetState", worker: FleetWorker, phase: Phase, now_s: float
) -> float:
    """Return how long a worker takes until only tasks that last run there."""
    return max(
        (
            _get_left_s(state, other, task, now_s)
            for other, task in state.list_tasks_on(worker)
            if not _lasts(other, task)
        ),
        default=0.0,
    )


def get_drained_room(state: "FleetState", worker: FleetWorker) -> Resources:
    """Return the room of a worker on which only tasks that last run."""
    lasting = (
        other.need for other, task in state.list_tasks_on(worker) if _lasts(other, task)
    )
    return worker.capacity - sum(lasting, Resources())


def count_drained_room(
    state: "FleetState", workers: Iterable[FleetWorker], phase: Phase
) -> int:
    """Return how many tasks of ``phase`` fit beside tasks that last."""
    need, limit = phase.need, phase.spec.spread_limit
    rooms = (get_drained_room(state, worker) for worker in workers)
    return sum(count_fitting(room, need, limit, 0) for room in rooms)


def _lasts(phase: Phase, task: Task) -> bool:
    return phase.spec.long_running and task.state is not TaskState.STOPPING


def _get_left_s(state: "FleetState", phase: Phase, task: Task, now_s: float) -> float:
    stop_s = state.policy.stop_s
    if task.state is TaskState.STOPPING:
        return stop_s
    if phase.spec.checkpoints:
        return stop_s
    queue = state.jobs[phase.id.job_id].job.queue
    expected_s = state.runtimes.predict(queue, phase.spec.estimate_ms)
    return max(stop_s, expected_s - (now_s - task.began_s))
