"""See in a simulated fleet what stands still, from its workers and its log alone."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lab.progress import IdleStep, StandStills, WorkerRoom
from larkhoist.ports.fleet import Resources
from larkhoist.ports.task_worker import EndKind
from tests.fleet.machine import FleetMachine
from tests.fleet.sim_worker import Run, SimWorker

__all__ = ["CalmLook", "look_for_stand_stills", "run_and_look"]

CALM_S = 4.0
"""How long it has to be calm before work may not stand still; from the users' rules."""
LASTING_REST_S = 6.0
"""How long after its last run a lasting task may rest; from the users' rules."""


@dataclass(slots=True)
class CalmLook:
    """Look for what stands still in calm times, by any rack and however full.

    A worker that dies or comes up, an entry that goes and another owner begin the calm
    anew, and with it the time in which work may stand.
    """

    stills: StandStills = field(
        default_factory=lambda: StandStills(any_rack=True, however_full=True)
    )
    calm_since_s: float = float("-inf")
    _term: int = 0
    _up: frozenset[str] = frozenset()
    _listed: frozenset[str] = frozenset()

    def look(self, machine: FleetMachine) -> None:
        """Take what is to be seen now."""
        if self._has_stirred(machine):
            self.calm_since_s = machine.now_s
        if machine.now_s < self.calm_since_s + CALM_S:
            self.stills.look(machine.now_s, (), ())
        else:
            look_for_stand_stills(machine, self.stills)

    def _has_stirred(self, machine: FleetMachine) -> bool:
        before = self._term, self._up
        gone = self._listed - self._find(machine, lambda worker: worker.listed)
        self._term = machine.term
        self._up = self._find(machine, lambda worker: not worker.dead)
        self._listed = self._find(machine, lambda worker: worker.listed)
        return bool(gone) or before != (self._term, self._up)

    def _find(
        self, machine: FleetMachine, chooses: Callable[[SimWorker], bool]
    ) -> frozenset[str]:
        workers = machine.world.workers.values()
        return frozenset(worker.name for worker in workers if chooses(worker))


def run_and_look(machine: FleetMachine, seconds: float) -> StandStills:
    """Let time pass, and return what stood still meanwhile."""
    stills = StandStills(any_rack=True)
    until_s = machine.now_s + seconds
    while machine.now_s < until_s:
        machine.step()
        look_for_stand_stills(machine, stills)
    return stills


def look_for_stand_stills(machine: FleetMachine, stills: StandStills) -> None:
    """Look at all workers and at all jobs that have not ended."""
    workers = machine.world.workers.values()
    rooms = [_get_room(worker) for worker in workers if _is_sound(machine, worker)]
    running = {
        run.task.split(".")[0] for worker in workers for run in worker.runs.values()
    }
    by_job: dict[str, list[Run]] = {}
    for run in machine.world.history:
        by_job.setdefault(run.task.split(".")[0], []).append(run)
    idle = [
        step
        for job_id, entry in machine.book.entries.items()
        if entry.outcome is None and not entry.cancelled
        for step in _list_due(machine, job_id, by_job.get(job_id, []))
        if step.task is not None or job_id not in running
    ]
    stills.look(machine.now_s, rooms, idle)


def _is_sound(machine: FleetMachine, worker: SimWorker) -> bool:
    stays = not worker.dead and worker.listed and worker.ends_s == float("inf")
    answers = worker.refusing_until_s <= machine.now_s
    return stays and answers and worker.address not in machine.cut


def _get_room(worker: SimWorker) -> WorkerRoom:
    used = sum((run.need for run in worker.runs.values()), Resources())
    labels = frozenset(("a", worker.rack))
    return WorkerRoom(worker.name, worker.rack, labels, worker.capacity, used)


def _list_due(machine: FleetMachine, job_id: str, runs: list[Run]) -> list[IdleStep]:
    """Return the steps that are not done, and those before them are."""
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
            due += _list_resting(machine, job_id, step, runs)
        else:
            due.append(IdleStep(job_id, step, spec))
    return due


def _list_resting(
    machine: FleetMachine, job_id: str, step: int, runs: list[Run]
) -> list[IdleStep]:
    """Return the lasting tasks of a step that have rested for long enough."""
    spec = machine.jobs[job_id].steps[step]
    of_step = [run for run in runs if int(run.task.split(".")[2]) == step]
    running = [run for run in of_step if run.ended_s is None]
    taken = Counter(run.worker for run in running)
    awake = {run.task for run in running}
    rested_s = machine.now_s - LASTING_REST_S
    awake |= {run.task for run in of_step if (run.ended_s or rested_s) > rested_s}
    return [
        IdleStep(job_id, step, spec, taken, index)
        for index in range(spec.count)
        if f"{job_id}.0.{step}.{index}" not in awake
    ]
