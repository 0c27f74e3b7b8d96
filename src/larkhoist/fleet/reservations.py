"""Reserve whole workers for gangs that would otherwise never find room together.

Under a load of many small tasks, each gap is filled by a small task at once, so that a
rack never has room for a whole gang. A waiting gang therefore gets the workers that are
expected to be free first. They stay reserved until the gang starts, ends or can no
longer earn anything (``Tier.HOPELESS``).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from larkhoist.fleet.room_search import WorkerGroup, count_fitting
from larkhoist.fleet.task import Phase, Task, TaskState
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.records import PhaseId
from larkhoist.ports.fleet import Resources

if TYPE_CHECKING:
    from larkhoist.fleet.state import FleetState

__all__ = ["Reservation", "Reservations"]


@dataclass(frozen=True, slots=True)
class Reservation:
    """The names of workers reserved for a phase, and when they should be free."""

    phase: PhaseId
    workers: frozenset[str]
    free_s: float


class Reservations:
    """All reservations; they last from pass to pass.

    ``version`` changes with each reservation that is made or dropped.
    """

    def __init__(self):
        self.version = 0
        self._by_phase: dict[PhaseId, Reservation] = {}
        self._phase_by_worker: dict[str, PhaseId] = {}

    def __len__(self) -> int:
        return len(self._phase_by_worker)

    def get(self, phase: PhaseId) -> Reservation | None:
        """Return the reservation of a phase, None if it has none."""
        return self._by_phase.get(phase)

    def is_open_to(self, worker: str, phase: PhaseId) -> bool:
        """Tell whether a worker is not reserved for another phase."""
        return self._phase_by_worker.get(worker, phase) == phase

    def keep_only(self, waiting: set[PhaseId], usable: set[str]) -> None:
        """Drop reservations of phases not waiting, or with a worker not usable."""
        for phase, reservation in list(self._by_phase.items()):
            if phase not in waiting or not reservation.workers <= usable:
                self.drop(phase)

    def drop_too_small(self, state: "FleetState") -> None:
        """Drop reservations too small for their phase beside long-running tasks."""
        for phase_id, reservation in list(self._by_phase.items()):
            phases = state.jobs[phase_id.job_id].phases
            phase = phases[(phase_id.run, phase_id.step)]
            workers = [state.workers[name] for name in reservation.workers]
            if count_drained_room(state, workers, phase) < len(phase.tasks):
                self.drop(phase_id)

    def drop(self, phase: PhaseId) -> None:
        """Drop the reservation of a phase, if it has one."""
        reservation = self._by_phase.pop(phase, None)
        if reservation is not None:
            self.version += 1
            for name in reservation.workers:
                del self._phase_by_worker[name]

    def reserve(
        self,
        state: "FleetState",
        phase: Phase,
        groups: Iterable[WorkerGroup],
        max_reserved: int,
        now_s: float,
    ) -> Reservation | None:
        """Reserve the workers of one group that are expected to be free first.

        Returns None if no group has enough workers, or if more than ``max_reserved``
        workers would be reserved in total.
        """
        count = len(phase.tasks)
        allowed = max_reserved - len(self)
        if allowed <= 0:
            return None
        best: Reservation | None = None
        for group in groups:
            if _count_needed_workers(phase, group) > allowed:
                continue
            found = self._pick(state, phase, group, count, now_s)
            if found is None or len(found.workers) + len(self) > max_reserved:
                continue
            if best is None or found.free_s < best.free_s:
                best = found
        if best is None:
            return None
        self.version += 1
        self._by_phase[phase.id] = best
        for name in best.workers:
            self._phase_by_worker[name] = phase.id
        return best

    def _pick(self, state, phase: Phase, group: WorkerGroup, count: int, now_s):
        drains = [
            (get_drain_s(state, worker, phase, now_s), worker.name, worker)
            for worker in group.workers
            if worker.name not in self._phase_by_worker
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


def _count_needed_workers(phase: Phase, group: WorkerGroup) -> int:
    """Return the least number of workers of a group that could hold the phase.

    Under full load most gangs would exceed the bound on reservations; this tells so
    without computing when each worker will be free.
    """
    most = max(
        (worker.capacity.count_fitting(phase.need) for worker in group.workers),
        default=0,
    )
    return -(-len(phase.tasks) // most) if most else len(phase.tasks)


def get_drain_s(
    state: "FleetState", worker: FleetWorker, phase: Phase, now_s: float
) -> float:
    """Return in how many seconds only long-running tasks will be left on a worker."""
    return max(
        (
            _get_remaining_s(state, other, task, now_s)
            for other, task in state.list_tasks_on(worker)
            if not _is_long_running(other, task)
        ),
        default=0.0,
    )


def get_drained_room(state: "FleetState", worker: FleetWorker) -> Resources:
    """Return the free room of a worker once only long-running tasks run there."""
    long_running_needs = (
        other.need
        for other, task in state.list_tasks_on(worker)
        if _is_long_running(other, task)
    )
    return worker.capacity - sum(long_running_needs, Resources())


def count_drained_room(
    state: "FleetState", workers: Iterable[FleetWorker], phase: Phase
) -> int:
    """Return how many tasks of ``phase`` fit beside long-running tasks."""
    need, limit = phase.need, phase.spec.spread_limit
    rooms = (get_drained_room(state, worker) for worker in workers)
    return sum(count_fitting(room, need, limit, 0) for room in rooms)


def _is_long_running(phase: Phase, task: Task) -> bool:
    return phase.spec.long_running and task.state is not TaskState.STOPPING


def _get_remaining_s(
    state: "FleetState", phase: Phase, task: Task, now_s: float
) -> float:
    stop_s = state.policy.stop_s
    if task.state is TaskState.STOPPING:
        return stop_s
    if phase.spec.checkpoints:
        return stop_s
    queue = state.jobs[phase.id.job_id].job.queue
    expected_s = state.runtimes.predict(queue, phase.spec.estimate_ms)
    return max(stop_s, expected_s - (now_s - task.began_s))
