"""Simulate workers with gangs, leases and tokens on a simulated clock.

A worker may announce that it leaves or not; it then serves for a while longer and ends
with all its runs. Its entry on the platform's list is independent of that: it may
disappear while the worker still runs, and come back. A worker that ended may be
replaced under a new name at the same address, or restarted under the same name and
address. Either begins without any state.
"""

from collections.abc import Callable
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

__all__ = [
    "START_MS",
    "TOKENS_PER_TERM",
    "Run",
    "SimWorker",
    "SimWorld",
    "make_listed",
]

START_MS = 1_700_000_000_000
TOKENS_PER_TERM = 1000
"""Number of tokens in each term; those of a later term are always higher."""
GANG_TIMEOUT_S = 3.0
STOP_S = 0.5
LEASE_S = 10.0
LEAVE_NOTICE_S = 2.0
"""Minimum time for which a leaving worker goes on serving."""


@dataclass(slots=True)
class Run:
    """A run of a task, recorded for the checks; ``ended_s`` is None while it runs.

    ``end_acknowledged`` is True if the end was acknowledged before the worker's lease
    lapsed: only then must the owner know of it. ``listed_s`` is when the worker first
    wrote an answer that lists the end, whether or not it arrived. ``late`` is True if
    the start was executed late, ``lost`` if the worker ended while the task ran.
    ``term`` is the owner's, ``sim_worker`` the incarnation that ran the task.
    ``sent_before_restart`` is True if the start was sent before this incarnation began
    and took effect before a call with a higher token arrived. ``work_began_s`` is the
    time from which the task works; members of a gang work once all of them run.
    """

    task: str
    attempt: int
    worker: str
    began_s: float
    need: Resources
    ended_s: float | None = None
    kind: EndKind | None = None
    end_acknowledged: bool = False
    listed_s: float | None = None
    late: bool = False
    sent_before_restart: bool = False
    lost: bool = False
    term: int = 0
    stop_requested_s: float | None = None
    work_began_s: float | None = None
    sim_worker: "SimWorker | None" = field(default=None, repr=False)


@dataclass(slots=True)
class SimWorker:
    """One incarnation of a worker; its clock runs at ``rate`` times true time.

    ``listed`` is True while its entry is on the platform's list, ``leaving`` once it
    has announced that it leaves, ``tells_remaining`` if its entry then tells how long
    it stays. ``serves_until_s`` is the time until which it serves
    at least, ``ends_s`` the time at which it ends. Its clock counts from ``started_s``.
    ``closed_attempts`` holds for each task the highest attempt that ended or was
    stopped: starts up to that one are refused. ``number`` is that of the last end.
    """

    name: str
    rack: str
    capacity: Resources
    rate: float = 1.0
    address: str = ""
    hall: str = "hall"
    token: int = 0
    lease_until_ms: int = 0
    listed: bool = True
    leaving: bool = False
    tells_remaining: bool = True
    serves_until_s: float = float("inf")
    ends_s: float = float("inf")
    dead: bool = False
    dead_since_s: float = float("inf")
    refusing_until_s: float = float("-inf")
    refused_share: float = 1.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ends: list[EndedTask] = field(default_factory=list)
    closed_attempts: dict[str, int] = field(default_factory=dict)
    number: int = 0
    lease_lapsed_s: float = float("-inf")
    started_s: float = 0.0

    def __post_init__(self):
        self.address = self.address or self.name

    def get_clock_ms(self, now_s: float) -> int:
        """Return the worker's own clock in milliseconds."""
        return int((now_s - self.started_s) * self.rate * 1000)

    @property
    def started_ms(self) -> int:
        """Return the start time of the worker in Unix milliseconds."""
        return START_MS + int(self.started_s * 1000)


class SimWorld:
    """All workers with the behaviour of tasks and the history of all runs.

    ``lease_s`` is the longest lease that workers accept. A worker crashes
    ``crash_after_s`` after it has started a task for which ``crashes`` returns True.
    ``gangs`` maps the phases that are gangs to their sizes.
    """

    def __init__(self, workers: list[SimWorker], need_of, work_s_of, fails):
        self.workers = {worker.name: worker for worker in workers}
        self.history: list[Run] = []
        self.lease_s = LEASE_S
        self.crashes: Callable[[str], bool] = lambda task: False
        self.crash_after_s = 0.0
        self._need_of = need_of
        self.work_s_of = work_s_of
        self._fails = fails
        self.gangs: dict[str, int] = {}
        self._ended: dict[tuple[str, int, int], Run] = {}

    def start(
        self,
        worker: SimWorker,
        order: StartOrder,
        now_s: float,
        *,
        unhealthy: bool = False,
        late: bool = False,
        sent_before_restart: bool = False,
    ) -> Result[int, Problem]:
        """Execute a start; return the worker's clock in milliseconds.

        An unhealthy worker refuses the start and does nothing else.
        """
        if unhealthy:
            return Failure(Problem(Code.ORDER_REFUSED))
        self._end_lapsed(worker, now_s)
        clock_ms = worker.get_clock_ms(now_s)
        refusal = self._refuse(worker, order, clock_ms)
        # These refusals concern the run only: the lease is extended all the same.
        if refusal in (None, Code.ATTEMPT_TOO_OLD, Code.WORKER_FULL):
            self._extend_lease(worker, order.lease_until_ms, now_s)
        if refusal is not None:
            return Failure(Problem(refusal))
        key = (order.task, order.attempt)
        if key not in worker.runs:
            run = Run(
                order.task,
                order.attempt,
                worker.name,
                now_s,
                self._need_of(order.task),
                late=late,
                sent_before_restart=sent_before_restart,
                term=order.token // TOKENS_PER_TERM,
                sim_worker=worker,
            )
            worker.runs[key] = run
            self.history.append(run)
        return Success(clock_ms)

    def _refuse(self, worker, order: StartOrder, clock_ms: int) -> Code | None:
        if order.token < worker.token:
            return Code.FENCED
        worker.token = order.token
        if (order.task, order.attempt) in worker.runs:
            return None
        if order.attempt <= worker.closed_attempts.get(order.task, 0):
            return Code.ATTEMPT_TOO_OLD
        if order.lease_until_ms <= clock_ms:
            return Code.ORDER_TOO_LATE
        used = sum((run.need for run in worker.runs.values()), Resources())
        if (worker.capacity - used).count_fitting(self._need_of(order.task)) < 1:
            return Code.WORKER_FULL
        return None

    def _extend_lease(self, worker: SimWorker, until_ms: int, now_s: float) -> None:
        """Extend the lease, up to the longest one counted from now."""
        longest_ms = worker.get_clock_ms(now_s) + int(self.lease_s * 1000)
        worker.lease_until_ms = max(worker.lease_until_ms, min(until_ms, longest_ms))

    def stop(
        self, worker: SimWorker, order: StopOrder, now_s: float
    ) -> Result[int, Problem]:
        """Execute a stop, also of an attempt whose start has not arrived."""
        self._end_lapsed(worker, now_s)
        if order.token < worker.token:
            return Failure(Problem(Code.FENCED))
        worker.token = order.token
        closed = worker.closed_attempts.get(order.task, 0)
        worker.closed_attempts[order.task] = max(closed, order.attempt)
        for run in worker.runs.values():
            matches = run.task == order.task and run.attempt <= order.attempt
            if matches and run.stop_requested_s is None:
                run.stop_requested_s = now_s
        return Success(worker.get_clock_ms(now_s))

    def renew(
        self, worker: SimWorker, call: LeaseCall, now_s: float
    ) -> Result[WorkerReport, Problem]:
        """Renew the lease, drop acknowledged ends and return a report."""
        self._end_lapsed(worker, now_s)
        if call.token < worker.token:
            return Failure(Problem(Code.FENCED))
        worker.token = call.token
        clock_ms = worker.get_clock_ms(now_s)
        self._acknowledge(worker, call.acknowledged)
        if call.lease_until_ms is not None:
            self._extend_lease(worker, call.lease_until_ms, now_s)
        running = tuple(
            RunningTask(run.task, run.attempt, "", 100) for run in worker.runs.values()
        )
        ended = tuple(worker.ends)
        for end in ended:
            run = self._ended[(worker.name, worker.started_ms, end.number)]
            if run.listed_s is None:
                run.listed_s = now_s
        return Success(
            WorkerReport(clock_ms, running, ended, started_ms=worker.started_ms)
        )

    def _acknowledge(self, worker: SimWorker, number: int) -> None:
        for ended in worker.ends:
            if ended.number <= number:
                run = self._ended[(worker.name, worker.started_ms, ended.number)]
                run.end_acknowledged = worker.lease_lapsed_s < run.ended_s
        worker.ends = [e for e in worker.ends if e.number > number]

    def advance(self, now_s: float) -> None:
        """Apply all lapsed leases, stops, crashes and ends of tasks that are due."""
        for worker in self.workers.values():
            if worker.dead:
                continue
            if now_s >= worker.ends_s:
                self.kill(worker, now_s)
                worker.listed = False
                continue
            self._end_lapsed(worker, now_s)
            if self._should_crash(worker, now_s):
                self.kill(worker, now_s)
                continue
            for run in list(worker.runs.values()):
                if (
                    run.stop_requested_s is not None
                    and now_s >= run.stop_requested_s + STOP_S
                ):
                    self._end(worker, run, EndKind.STOPPED, now_s)
        for runs in self._group_runs().values():
            self._advance_group(runs, now_s)

    def leave(
        self, worker: SimWorker, now_s: float, extra_s: float = 0.0, *, announced: bool
    ) -> None:
        """Have a worker end after ``LEAVE_NOTICE_S`` and ``extra_s`` more.

        A worker that announces (``announced``) its leaving stays on the list.
        """
        worker.serves_until_s = min(worker.serves_until_s, now_s + LEAVE_NOTICE_S)
        worker.ends_s = min(worker.ends_s, now_s + LEAVE_NOTICE_S + extra_s)
        worker.leaving = worker.leaving or announced
        if not announced:
            worker.listed = False

    def start_replacement(self, former: SimWorker) -> SimWorker:
        """Start a worker under a new name at the address of one that has ended."""
        assert former.dead, f"{former.name} is still up"
        incarnations = sum(w.address == former.address for w in self.workers.values())
        worker = SimWorker(
            f"{former.address}.{incarnations}",
            former.rack,
            former.capacity,
            former.rate,
            former.address,
            former.hall,
        )
        self.workers[worker.name] = worker
        return worker

    def restart(self, former: SimWorker, now_s: float) -> SimWorker:
        """Restart a worker that has ended under the same name and address."""
        assert former.dead, f"{former.name} is still up"
        worker = SimWorker(
            former.name,
            former.rack,
            former.capacity,
            former.rate,
            former.address,
            former.hall,
            started_s=now_s,
        )
        self.workers[worker.name] = worker
        return worker

    def has_unlisted_ends(self, worker: SimWorker) -> bool:
        """Tell whether a call that waits for an end would be answered."""
        return any(
            self._ended[(worker.name, worker.started_ms, end.number)].listed_s is None
            for end in worker.ends
        )

    def find_at(self, address: str) -> SimWorker | None:
        """Return the worker that is up at an address."""
        for worker in self.workers.values():
            if worker.address == address and not worker.dead:
                return worker
        return None

    def kill(self, worker: SimWorker, now_s: float) -> None:
        """End a worker at once, with all its runs."""
        worker.dead = True
        worker.dead_since_s = now_s
        for run in worker.runs.values():
            run.ended_s = now_s
            run.lost = True
        worker.runs = {}

    def _should_crash(self, worker: SimWorker, now_s: float) -> bool:
        return any(
            self.crashes(run.task) and now_s >= run.began_s + self.crash_after_s
            for run in worker.runs.values()
        )

    def _end_lapsed(self, worker: SimWorker, now_s: float) -> None:
        if worker.get_clock_ms(now_s) <= worker.lease_until_ms:
            return
        worker.lease_lapsed_s = now_s
        for run in list(worker.runs.values()):
            self._end(worker, run, EndKind.LAPSED, now_s)

    def _group_runs(self) -> dict[str, list[Run]]:
        groups: dict[str, list[Run]] = {}
        for worker in self.workers.values():
            for run in worker.runs.values():
                phase = run.task.rpartition(".")[0]
                key = f"{phase}@{run.attempt}"
                if phase not in self.gangs:
                    key = f"{run.task}@{run.attempt}@{run.worker}"
                groups.setdefault(key, []).append(run)
        return groups

    def _advance_group(self, runs: list[Run], now_s: float) -> None:
        size = self.gangs.get(runs[0].task.rpartition(".")[0], 1)
        complete = len(runs) == size
        if complete and runs[0].work_began_s is None:
            for run in runs:
                run.work_began_s = now_s
        if not complete:
            self._break_group(runs, now_s)
            return
        if now_s < runs[0].work_began_s + self.work_s_of(runs[0].task):
            return
        if any(run.stop_requested_s is not None for run in runs):
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
            if run.work_began_s is not None:
                self._end(worker, run, EndKind.BROKEN, now_s)
            elif now_s > run.began_s + GANG_TIMEOUT_S:
                self._end(worker, run, EndKind.ALONE, now_s)

    def _end(self, worker: SimWorker, run: Run, kind: EndKind, now_s: float) -> None:
        del worker.runs[(run.task, run.attempt)]
        run.ended_s = now_s
        run.kind = kind
        worker.number += 1
        closed = worker.closed_attempts.get(run.task, 0)
        worker.closed_attempts[run.task] = max(closed, run.attempt)
        self._ended[(worker.name, worker.started_ms, worker.number)] = run
        worker.ends.append(EndedTask(worker.number, run.task, run.attempt, kind, ""))


def make_listed(worker: SimWorker, now_s: float) -> ListedTaskWorker:
    """Return the entry of a worker on the platform's list."""
    tells = worker.leaving and worker.tells_remaining
    return ListedTaskWorker(
        worker.name,
        "service",
        worker.address,
        worker.hall,
        worker.rack,
        frozenset(("a", worker.rack)),
        worker.capacity,
        worker.leaving,
        max(0.0, worker.serves_until_s - now_s) if tells else None,
        worker.get_clock_ms(now_s),
        worker.started_ms,
    )
