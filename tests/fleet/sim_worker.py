"""Stand in for workers on a passed clock, with gangs, leases and tokens."""

from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from larkhoist.ports.task_worker import (
    EndedTask,
    EndKind,
    LeaseCall,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from larkhoist.problem import Problem

__all__ = ["Run", "SimWorker", "SimWorld", "make_listed"]

GANG_WAIT_S = 3.0
STOP_S = 0.5
LEASE_S = 10.0


@dataclass(slots=True)
class Run:
    """Hold one run of a task, for the checks; ``ended_s`` is None while it runs.

    ``noted`` tells whether its end was acknowledged before the lease lapsed: only
    then must the system know of it.
    """

    task: str
    attempt: int
    worker: str
    began_s: float
    need: Resources
    ended_s: float | None = None
    kind: EndKind | None = None
    noted: bool = False
    stopping_s: float | None = None
    works_since_s: float | None = None


@dataclass(slots=True)
class SimWorker:
    """Hold one incarnation of a worker; its clock runs ``rate`` times true time."""

    name: str
    rack: str
    capacity: Resources
    rate: float = 1.0
    token: int = 0
    lease_until_ms: int = 0
    listed: bool = True
    leaving: bool = False
    dead: bool = False
    runs: dict[str, Run] = field(default_factory=dict)
    ends: list[EndedTask] = field(default_factory=list)
    floors: dict[str, int] = field(default_factory=dict)
    number: int = 0
    lapsed_s: float = float("-inf")

    def get_clock_ms(self, now_s: float) -> int:
        """Return the worker's own clock."""
        return int(now_s * self.rate * 1000)


class SimWorld:
    """Hold all workers, how long tasks work and everything that ever ran."""

    def __init__(self, workers: list[SimWorker], need_of, work_s_of, fails):
        self.workers = {worker.name: worker for worker in workers}
        self.history: list[Run] = []
        self._need_of = need_of
        self._work_s_of = work_s_of
        self._fails = fails
        self.gangs: dict[str, int] = {}
        self._ended: dict[tuple[str, int], Run] = {}

    def start(
        self, worker: SimWorker, order: StartOrder, now_s: float
    ) -> Result[int, Problem]:
        """Carry out a start as a worker would."""
        clock_ms = worker.get_clock_ms(now_s)
        refusal = self._refuse(worker, order, clock_ms)
        if refusal is not None:
            return Failure(Problem(refusal))
        worker.lease_until_ms = max(worker.lease_until_ms, order.lease_until_ms)
        if order.task not in worker.runs:
            run = Run(
                order.task,
                order.attempt,
                worker.name,
                now_s,
                self._need_of(order.task),
            )
            worker.runs[order.task] = run
            self.history.append(run)
        return Success(clock_ms)

    def _refuse(self, worker, order: StartOrder, clock_ms: int) -> Code | None:
        if order.token < worker.token:
            return Code.FENCED
        worker.token = order.token
        running = worker.runs.get(order.task)
        if running is not None and running.attempt == order.attempt:
            return None
        if order.attempt <= worker.floors.get(order.task, 0):
            return Code.ATTEMPT_TOO_OLD
        if order.lease_until_ms <= clock_ms:
            return Code.ORDER_TOO_LATE
        used = sum((run.need for run in worker.runs.values()), Resources())
        if (worker.capacity - used).count_fitting(self._need_of(order.task)) < 1:
            return Code.WORKER_FULL
        return None

    def stop(
        self, worker: SimWorker, order: StopOrder, now_s: float
    ) -> Result[int, Problem]:
        """Carry out a stop, also of a run that has not arrived."""
        if order.token < worker.token:
            return Failure(Problem(Code.FENCED))
        worker.token = order.token
        floor = worker.floors.get(order.task, 0)
        worker.floors[order.task] = max(floor, order.attempt)
        run = worker.runs.get(order.task)
        if run is not None and run.attempt <= order.attempt and run.stopping_s is None:
            run.stopping_s = now_s
        return Success(worker.get_clock_ms(now_s))

    def renew(
        self, worker: SimWorker, call: LeaseCall, now_s: float
    ) -> Result[WorkerReport, Problem]:
        """Renew the lease, forget acknowledged ends and report."""
        if call.token < worker.token:
            return Failure(Problem(Code.FENCED))
        worker.token = call.token
        clock_ms = worker.get_clock_ms(now_s)
        self._acknowledge(worker, call.acknowledged)
        if call.lease_until_ms is not None:
            longest_ms = clock_ms + int(LEASE_S * 1000)
            until_ms = min(call.lease_until_ms, longest_ms)
            worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        running = tuple(
            RunningTask(run.task, run.attempt, "", 100) for run in worker.runs.values()
        )
        return Success(WorkerReport(clock_ms, running, tuple(worker.ends)))

    def _acknowledge(self, worker: SimWorker, number: int) -> None:
        for ended in worker.ends:
            if ended.number <= number:
                run = self._ended[(worker.name, ended.number)]
                run.noted = worker.lapsed_s < run.ended_s
        worker.ends = [e for e in worker.ends if e.number > number]

    def advance(self, now_s: float) -> None:
        """Let leases lapse, stops take effect and tasks end."""
        for worker in self.workers.values():
            if worker.dead:
                continue
            lapsed = worker.get_clock_ms(now_s) > worker.lease_until_ms
            if lapsed:
                worker.lapsed_s = now_s
            for run in list(worker.runs.values()):
                if lapsed:
                    self._end(worker, run, EndKind.LAPSED, now_s)
                elif run.stopping_s is not None and now_s >= run.stopping_s + STOP_S:
                    self._end(worker, run, EndKind.STOPPED, now_s)
        for runs in self._group_runs().values():
            self._advance_group(runs, now_s)

    def kill(self, worker: SimWorker, now_s: float) -> None:
        """End a worker with all that runs there."""
        worker.dead = True
        for run in worker.runs.values():
            run.ended_s = now_s
        worker.runs = {}

    def _group_runs(self) -> dict[str, list[Run]]:
        groups: dict[str, list[Run]] = {}
        for worker in self.workers.values():
            for run in worker.runs.values():
                phase = run.task.rpartition(".")[0]
                key = f"{phase}@{run.attempt}" if phase in self.gangs else run.task
                groups.setdefault(key, []).append(run)
        return groups

    def _advance_group(self, runs: list[Run], now_s: float) -> None:
        size = self.gangs.get(runs[0].task.rpartition(".")[0], 1)
        whole = len(runs) == size
        if whole and runs[0].works_since_s is None:
            for run in runs:
                run.works_since_s = now_s
        if not whole:
            self._break_group(runs, now_s)
            return
        if now_s < runs[0].works_since_s + self._work_s_of(runs[0].task):
            return
        if any(run.stopping_s is not None for run in runs):
            return
        failing = [run for run in runs if self._fails(run.task, run.worker)]
        for run in runs:
            kind = EndKind.DONE
            if failing:
                kind = EndKind.FAILED if run in failing else EndKind.BROKEN
            self._end(self.workers[run.worker], run, kind, now_s)

    def _break_group(self, runs: list[Run], now_s: float) -> None:
        for run in runs:
            worker = self.workers[run.worker]
            if run.works_since_s is not None:
                self._end(worker, run, EndKind.BROKEN, now_s)
            elif now_s > run.began_s + GANG_WAIT_S:
                self._end(worker, run, EndKind.ALONE, now_s)

    def _end(self, worker: SimWorker, run: Run, kind: EndKind, now_s: float) -> None:
        del worker.runs[run.task]
        run.ended_s = now_s
        run.kind = kind
        worker.number += 1
        floor = worker.floors.get(run.task, 0)
        worker.floors[run.task] = max(floor, run.attempt)
        self._ended[(worker.name, worker.number)] = run
        worker.ends.append(EndedTask(worker.number, run.task, run.attempt, kind, ""))


def make_listed(worker: SimWorker, now_s: float) -> ListedTaskWorker:
    """Return the platform's entry of a worker."""
    return ListedTaskWorker(
        worker.name,
        "service",
        f"{worker.name}:1",
        "hall",
        worker.rack,
        frozenset(("a", worker.rack)),
        worker.capacity,
        worker.leaving,
        3.0 if worker.leaving else None,
        worker.get_clock_ms(now_s),
    )
