"""Find work of a simulated fleet that stands still, from its workers and its log."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lab.progress import IdleStep, StallDetector, WorkerRoom
from larkhoist.ports.fleet import Resources
from larkhoist.ports.task_worker import EndKind
from tests.fleet.machine import FleetMachine
from tests.fleet.sim_worker import Run, SimWorker

__all__ = ["CalmPeriodCheck", "find_stalls", "run_and_find_stalls"]

CALM_S = 4.0
"""Time without events after which work must not stand still; a requirement."""
IDLE_LIMIT_S = 6.0
"""Time for which a long-running task may be idle after a run; a requirement."""


@dataclass(slots=True)
class CalmPeriodCheck:
    """A check for work that stands still in calm periods.

    A calm period starts ``CALM_S`` after the last worker that ended or came up, entry
    that disappeared or change of owner. Room in any rack counts, at any load.
    """

    stills: StallDetector = field(
        default_factory=lambda: StallDetector(any_rack=True, ignore_usage=True)
    )
    calm_since_s: float = float("-inf")
    _term: int = 0
    _up: frozenset[str] = frozenset()
    _listed: frozenset[str] = frozenset()

    def look(self, machine: FleetMachine) -> None:
        """Check the current state of the simulation."""
        if self._has_changed(machine):
            self.calm_since_s = machine.now_s
        if machine.now_s < self.calm_since_s + CALM_S:
            self.stills.look(machine.now_s, (), ())
        else:
            find_stalls(machine, self.stills)

    def _has_changed(self, machine: FleetMachine) -> bool:
        before = self._term, self._up
        unlisted = self._listed - self._list_names(
            machine, lambda worker: worker.listed
        )
        self._term = machine.term
        self._up = self._list_names(machine, lambda worker: not worker.dead)
        self._listed = self._list_names(machine, lambda worker: worker.listed)
        return bool(unlisted) or before != (self._term, self._up)

    def _list_names(
        self, machine: FleetMachine, predicate: Callable[[SimWorker], bool]
    ) -> frozenset[str]:
        workers = machine.world.workers.values()
        return frozenset(worker.name for worker in workers if predicate(worker))


def run_and_find_stalls(machine: FleetMachine, seconds: float) -> StallDetector:
    """Advance time, and return what stood still meanwhile."""
    stills = StallDetector(any_rack=True)
    until_s = machine.now_s + seconds
    while machine.now_s < until_s:
        machine.step()
        find_stalls(machine, stills)
    return stills


def find_stalls(machine: FleetMachine, stills: StallDetector) -> None:
    """Check the jobs that have not ended against the free room of all workers."""
    workers = machine.world.workers.values()
    rooms = [_get_room(worker) for worker in workers if _is_usable(machine, worker)]
    running = {
        run.task.split(".")[0] for worker in workers for run in worker.runs.values()
    }
    by_job: dict[str, list[Run]] = {}
    for run in machine.world.history:
        by_job.setdefault(run.task.split(".")[0], []).append(run)
    idle = [
        step
        for job_id, entry in machine.registry.entries.items()
        if entry.outcome is None and not entry.cancelled
        for step in _list_due_steps(machine, job_id, by_job.get(job_id, []))
        if step.task is not None or job_id not in running
    ]
    stills.look(machine.now_s, rooms, idle)


def _is_usable(machine: FleetMachine, worker: SimWorker) -> bool:
    stays = not worker.dead and worker.listed and worker.ends_s == float("inf")
    answers = worker.refusing_until_s <= machine.now_s
    return stays and answers and worker.address not in machine.cut


def _get_room(worker: SimWorker) -> WorkerRoom:
    used = sum((run.need for run in worker.runs.values()), Resources())
    labels = frozenset(("a", worker.rack))
    return WorkerRoom(worker.name, worker.rack, labels, worker.capacity, used)


def _list_due_steps(
    machine: FleetMachine, job_id: str, runs: list[Run]
) -> list[IdleStep]:
    """Return the unfinished steps whose dependencies are completed."""
    job = machine.jobs[job_id]
    done = {run.task for run in runs if run.kind is EndKind.DONE}
    is_done = []
    for step, spec in enumerate(job.steps):
        tasks = {f"{job_id}.0.{step}.{index}" for index in range(spec.count)}
        ended = bool(tasks & done) if spec.gang else tasks <= done
        is_done.append(ended and not spec.long_running)
    due: list[IdleStep] = []
    for step, spec in enumerate(job.steps):
        if is_done[step] or not all(is_done[before] for before in spec.depends_on):
            continue
        if spec.long_running:
            due += _list_idle_tasks(machine, job_id, step, runs)
        else:
            due.append(IdleStep(job_id, step, spec))
    return due


def _list_idle_tasks(
    machine: FleetMachine, job_id: str, step: int, runs: list[Run]
) -> list[IdleStep]:
    """Return the long-running tasks that have been idle for ``IDLE_LIMIT_S``."""
    spec = machine.jobs[job_id].steps[step]
    of_step = [run for run in runs if int(run.task.split(".")[2]) == step]
    running = [run for run in of_step if run.ended_s is None]
    taken = Counter(run.worker for run in running)
    active = {run.task for run in running}
    idle_since_s = machine.now_s - IDLE_LIMIT_S
    active |= {
        run.task for run in of_step if (run.ended_s or idle_since_s) > idle_since_s
    }
    return [
        IdleStep(job_id, step, spec, taken, index)
        for index in range(spec.count)
        if f"{job_id}.0.{step}.{index}" not in active
    ]
