"""Simulate workers on a virtual clock: gangs, stops, checkpoints, failures.

Only changes of state are events, so that a day of 270 workers takes seconds to
simulate. Leases, lost calls and changes of owner are covered by the interleaving tests.
"""

import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from lab.arrivals import Arrival
from lab.events import Events
from lab.kinds import (
    DayPlan,
    FailingWorkers,
    LeavingWorkers,
    SlowWorkers,
)
from larkhoist.fleet.effects import StartTask, StopTask
from larkhoist.ports.fleet import Resources
from larkhoist.ports.task_worker import EndedTask, EndKind, RunningTask

__all__ = [
    "SimulatedWorkers",
    "Waste",
    "WorkerCrash",
    "WorkerLeaves",
    "draw_speeds",
    "get_worker_number",
]

CRASH_DELAY_S = 0.01
"""Time from the start of a crashing task until its worker crashes."""

FAILURE_DELAY_S = 0.5
"""Time that a task runs on a worker that fails every task."""


@dataclass(slots=True, eq=False)
class Run:
    """One attempt of a task on a worker; it takes ``factor`` times its nominal time.

    A member of a gang does its own work in ``own_factor`` times that time, and then
    waits for the others.
    """

    task: str
    attempt: int
    worker: str
    began_s: float
    stopping: bool = False
    factor: float = 1.0
    own_factor: float = 1.0


@dataclass(slots=True)
class RunGroup:
    """The runs that start and end together: those of a gang, or a single one.

    ``restored_s`` is the work restored from a checkpoint, in seconds, of ``work_s``.
    """

    size: int
    arrival: Arrival
    step: int
    runs: dict[str, Run] = field(default_factory=dict)
    working_since_s: float | None = None
    restored_s: float = 0.0
    work_s: float = 0.0
    fails: bool = False


@dataclass(frozen=True, slots=True)
class WorkFinished:
    """The planned end of a group's work; void if the group has ended before."""

    key: tuple[str, int]
    group: RunGroup


@dataclass(frozen=True, slots=True)
class StopFinished:
    """A stop has taken effect."""

    run: Run


@dataclass(frozen=True, slots=True)
class WorkerCrash:
    """A worker has crashed with all tasks that run there."""

    worker: str


@dataclass(frozen=True, slots=True)
class WorkerLeaves:
    """A worker announces that it leaves for good in ``exit_delay_s`` seconds."""

    worker: str
    exit_delay_s: float


@dataclass(slots=True)
class Waste:
    """Counts of runs that did not complete, and their discarded core-seconds.

    ``lost`` counts runs, except those of crashing jobs, that ended with their worker.
    """

    core_s: float = 0.0
    lost: int = 0
    crashes: int = 0
    stops: int = 0
    broken: int = 0
    failed: int = 0


def get_worker_number(worker: str) -> int:
    """Return the number in a worker's name; restarted workers keep it."""
    return int(worker[1:].partition(".")[0])


def draw_speeds(plan: DayPlan, seed: int) -> list[float]:
    """Return the factor of each worker's run times, by its number."""
    rng = random.Random(f"speeds {seed}")
    return [rng.choice(plan.speeds) for _ in range(plan.workers)]


class SimulatedWorkers:
    """All simulated workers; ``report`` is called with the worker when a run ends."""

    def __init__(self, plan: DayPlan, seed: int, events: Events, report):
        self._plan = plan
        self._events = events
        self._report = report
        self._rng = random.Random(f"workers {seed}")
        self._groups: dict[tuple[str, int], RunGroup] = {}
        self._runs: dict[tuple[str, int], Run] = {}
        self._checkpointed_s: dict[str, float] = {}
        self._numbers: dict[str, int] = {}
        self._arrivals: dict[str, Arrival] = {}
        self._stopped: dict[str, int] = {}
        self.waste = Waste()
        self._speeds = draw_speeds(plan, seed)
        self._by_worker: dict[str, dict[Run, RunGroup]] = defaultdict(dict)
        self._dead: set[str] = set()
        self._started_jobs: set[str] = set()
        self._leaving: set[str] = set()
        self._schedule_departures(seed)
        fault_rng = random.Random(f"faults {seed}")
        self._faulty = [
            (
                fault,
                {n for n in range(plan.workers) if fault_rng.random() < fault.share},
            )
            for fault in plan.faults
            if isinstance(fault, SlowWorkers | FailingWorkers)
        ]

    def _schedule_departures(self, seed: int) -> None:
        rng = random.Random(f"departures {seed}")
        for fault in self._plan.faults:
            if not isinstance(fault, LeavingWorkers):
                continue
            workers = self._plan.workers
            for number in rng.sample(range(workers), round(fault.share * workers)):
                at_s = fault.at_s + rng.uniform(0.0, fault.for_s)
                self._events.add(at_s, WorkerLeaves(f"w{number}", fault.exit_delay_s))

    def get_speeds(self) -> dict[str, float]:
        """Return the factor of each worker's run times, without faults."""
        return {f"w{number}": factor for number, factor in enumerate(self._speeds)}

    def add_arrival(self, arrival: Arrival) -> None:
        """Add a job with the actual run times of its tasks."""
        self._arrivals[arrival.job.job_id] = arrival

    def start(self, order: StartTask, now_s: float) -> bool:
        """Begin an attempt; a gang starts to work once all its tasks have begun.

        Return False, without a run, if a stop came first or the worker has crashed.
        """
        if (
            self._stopped.get(order.task, 0) >= order.attempt
            or order.worker in self._dead
        ):
            return False
        phase, _, _ = order.task.rpartition(".")
        job_id, _, step = phase.split(".")
        arrival = self._arrivals[job_id]
        spec = arrival.job.steps[int(step)]
        key = (phase if spec.gang else order.task, order.attempt)
        group = self._groups.get(key)
        if group is None:
            size = spec.count if spec.gang else 1
            group = self._groups[key] = RunGroup(size, arrival, int(step))
        run = Run(order.task, order.attempt, order.worker, now_s)
        group.runs[order.task] = run
        self._runs[(order.task, order.attempt)] = run
        self._by_worker[order.worker][run] = group
        self._started_jobs.add(job_id)
        if arrival.crashes and order.task.endswith(".0.0.0"):
            crash = WorkerCrash(order.worker)
            self._events.add(now_s + CRASH_DELAY_S, crash)
        if len(group.runs) == group.size:
            self._begin_work(key, group, bool(order.checkpoint), now_s)
        return True

    def stop(self, order: StopTask, now_s: float) -> None:
        """Begin to stop an attempt."""
        seen = self._stopped.get(order.task, 0)
        self._stopped[order.task] = max(seen, order.attempt)
        run = self._runs.get((order.task, order.attempt))
        if run is None or run.stopping:
            return
        run.stopping = True
        took_s = self._plan.stop_s * self._rng.uniform(0.2, 1.0)
        self._events.add(now_s + took_s, StopFinished(run))

    def is_dead(self, worker: str) -> bool:
        """Tell whether a worker has ended; once restarted, it has another name."""
        return worker in self._dead

    def is_healthy(self, worker: str, now_s: float) -> bool:
        """Tell whether a worker is up, is not leaving and does not fail every task."""
        ends = worker in self._dead or worker in self._leaving
        return not ends and not self._is_failing(worker, now_s)

    def note_leaving(self, worker: str) -> None:
        """Mark a worker as leaving for good."""
        self._leaving.add(worker)

    def iter_runs(self) -> Iterator[tuple[str, str, Resources]]:
        """Yield the job, the worker and the required resources of each run."""
        for group in self._groups.values():
            job = group.arrival.job
            need = job.steps[group.step].need
            for run in group.runs.values():
                yield job.job_id, run.worker, need

    def list_running(self, worker: str, now_s: float) -> tuple[RunningTask, ...]:
        """Return the runs on a worker as its report lists them, without checkpoints."""
        return tuple(
            RunningTask(run.task, run.attempt, "", _get_percent(run, group, now_s))
            for run, group in self._by_worker[worker].items()
        )

    def pop_started_jobs(self) -> set[str]:
        """Return the jobs that had a run begin since the last call."""
        begun, self._started_jobs = self._started_jobs, set()
        return begun

    def end_worker(self, worker: str, now_s: float) -> bool:
        """End a worker and, without a report, its runs; gangs that work end with them.

        Return False if the worker had already ended.
        """
        if worker in self._dead:
            return False
        self._dead.add(worker)
        self.waste.crashes += worker not in self._leaving
        for key, group in list(self._groups.items()):
            lost = [run for run in group.runs.values() if run.worker == worker]
            if lost:
                self._end_lost_runs(key, group, lost, now_s)
        return True

    def _end_lost_runs(
        self, key, group: RunGroup, lost: list[Run], now_s: float
    ) -> None:
        for run in lost:
            del group.runs[run.task]
            self._drop_run(run)
            if not group.arrival.crashes:
                self.waste.lost += 1
                self._count_waste(group, run, EndKind.BROKEN, now_s)
        if group.working_since_s is not None:
            for other in list(group.runs.values()):
                del group.runs[other.task]
                self._end(group, other, EndKind.BROKEN, now_s)
        if not group.runs or group.working_since_s is not None:
            del self._groups[key]

    def finish_work(self, event: WorkFinished, now_s: float) -> None:
        """End the runs of a group whose work is finished."""
        if self._groups.get(event.key) is not event.group:
            return
        del self._groups[event.key]
        runs = list(event.group.runs.values())
        failing = runs[0] if event.group.fails else None
        for run in runs:
            kind = EndKind.DONE
            if failing is not None:
                kind = EndKind.FAILED if run is failing else EndKind.BROKEN
            self._end(event.group, run, kind, now_s)

    def finish_stop(self, event: StopFinished, now_s: float) -> None:
        """End a stopped run; if its gang works, end its runs that are not stopping."""
        run = event.run
        if (run.task, run.attempt) not in self._runs:
            return
        phase, _, _ = run.task.rpartition(".")
        key = (run.task, run.attempt)
        if key not in self._groups:
            key = (phase, run.attempt)
        group = self._groups[key]
        self._save_progress(group, run, now_s)
        del group.runs[run.task]
        self._end(group, run, EndKind.STOPPED, now_s)
        if group.working_since_s is not None:
            for other in list(group.runs.values()):
                if not other.stopping:
                    del group.runs[other.task]
                    self._end(group, other, EndKind.BROKEN, now_s)
        if not group.runs:
            del self._groups[key]

    # Details.

    def _begin_work(self, key, group: RunGroup, restored: bool, now_s: float) -> None:
        group.working_since_s = now_s
        runs = list(group.runs.values())
        distance = self._get_distance_factor(group, runs)
        for run in runs:
            run.own_factor = distance * self._get_speed(run.worker, now_s)
        factor = max(run.own_factor for run in runs)
        checkpointed_s = max(self._checkpointed_s.get(run.task, 0.0) for run in runs)
        checkpointed_s = checkpointed_s if restored else 0.0
        index = int(runs[0].task.rpartition(".")[2])
        group.work_s = group.arrival.work_s[group.step][index]
        work_s = group.work_s - checkpointed_s
        group.restored_s = checkpointed_s
        took_s = work_s * factor + (self._plan.restore_s if restored else 0.0)
        for run in runs:
            run.factor = factor
        group.fails = self._draw_failure(group, runs, now_s)
        if group.fails:
            broken = any(self._is_failing(run.worker, now_s) for run in runs)
            took_s = FAILURE_DELAY_S if broken else took_s * self._rng.random()
        self._events.add(now_s + max(0.01, took_s), WorkFinished(key, group))

    def _draw_failure(self, group: RunGroup, runs: list[Run], now_s: float) -> bool:
        drawn = self._rng.random() < group.arrival.kind.fails
        if group.arrival.always_fails:
            return True
        return drawn or any(self._is_failing(run.worker, now_s) for run in runs)

    def _is_failing(self, worker: str, now_s: float) -> bool:
        number = get_worker_number(worker)
        return any(
            isinstance(fault, FailingWorkers)
            and number in affected
            and fault.at_s <= now_s < fault.at_s + fault.for_s
            for fault, affected in self._faulty
        )

    def _get_distance_factor(self, group: RunGroup, runs: list[Run]) -> float:
        spec = group.arrival.job.steps[group.step]
        racks = {get_worker_number(run.worker) // self._plan.per_rack for run in runs}
        factor = 1.0
        if spec.same_rack and len(racks) > 1:
            factor *= self._plan.remote_factor
        if spec.data_rack and any(f"r{rack}" != spec.data_rack for rack in racks):
            factor *= self._plan.remote_factor
        return factor

    def _get_speed(self, worker: str, now_s: float) -> float:
        number = get_worker_number(worker)
        factors = [
            fault.factor
            for fault, affected in self._faulty
            if isinstance(fault, SlowWorkers)
            and number in affected
            and fault.at_s <= now_s < fault.at_s + fault.for_s
        ]
        return self._speeds[number] * max([1.0, *factors])

    def _drop_run(self, run: Run) -> None:
        del self._runs[(run.task, run.attempt)]
        del self._by_worker[run.worker][run]

    def _save_progress(self, group: RunGroup, run: Run, now_s: float) -> None:
        """Record the progress of steps that write checkpoints."""
        spec = group.arrival.job.steps[group.step]
        if group.working_since_s is None:
            return
        if spec.checkpoints:
            done_s = group.restored_s + (now_s - group.working_since_s) / run.factor
            for other in group.runs.values():
                self._checkpointed_s[other.task] = done_s

    def _end(self, group: RunGroup, run: Run, kind: EndKind, now_s: float) -> None:
        self._drop_run(run)
        spec = group.arrival.job.steps[group.step]
        if kind is not EndKind.DONE:
            self._count_waste(group, run, kind, now_s)
        checkpoint = ""
        if spec.checkpoints and self._checkpointed_s.get(run.task):
            checkpoint = f"{run.task}@{self._checkpointed_s[run.task]:.3f}"
            if spec.gang:
                checkpoint = checkpoint.partition("@")[2]
        number = self._numbers.get(run.worker, 0) + 1
        self._numbers[run.worker] = number
        ended = EndedTask(number, run.task, run.attempt, kind, checkpoint)
        self._report(run.worker, ended, now_s)

    def _count_waste(
        self, group: RunGroup, run: Run, kind: EndKind, now_s: float
    ) -> None:
        spec = group.arrival.job.steps[group.step]
        cores = spec.cpu_milli / 1000 + 8 * spec.accelerators
        match kind:
            case EndKind.STOPPED:
                self.waste.stops += 1
            case EndKind.FAILED:
                self.waste.failed += 1
                return
            case _:
                self.waste.broken += 1
        kept = spec.checkpoints and kind is EndKind.STOPPED
        self.waste.core_s += 0.0 if kept else cores * (now_s - run.began_s)


def _get_percent(run: Run, group: RunGroup, now_s: float) -> int:
    """Return how much of a run's own work is done, a whole percentage."""
    if group.working_since_s is None or not group.work_s:
        return 0
    done_s = group.restored_s + (now_s - group.working_since_s) / run.own_factor
    return min(100, int(100 * done_s / group.work_s))
