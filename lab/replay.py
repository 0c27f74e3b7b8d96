"""Simulate a day: arrivals, workers and the real scheduler on one virtual clock."""

import dataclasses
import time
from collections.abc import Mapping
from dataclasses import dataclass

from lab.arrivals import SERVICE, Arrival, draw_arrivals, get_rack, get_shares
from lab.events import Events
from lab.kinds import DayPlan
from lab.known_speeds import KnownSpeeds
from lab.progress import StallDetector
from lab.result import DayResult, SpeedSample, score_day
from lab.watch import DayWatch
from lab.workers import (
    SimulatedWorkers,
    StopFinished,
    WorkerCrash,
    WorkerLeaves,
    WorkFinished,
    draw_speeds,
    get_worker_number,
)
from larkhoist.codes import Code
from larkhoist.fleet.effects import Round, StartTask, StopTask
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.scheduler import create_fleet_scheduler
from larkhoist.fleet.speeds import SpeedFactor
from larkhoist.jobs.records import JobOutcome
from larkhoist.jobs.registry import StagedJobEntry
from larkhoist.ports.fleet import ListedTaskWorker
from larkhoist.ports.task_worker import EndedTask, RunningTask, WorkerReport

__all__ = ["replay"]

CRASH_NOTICE_S = 0.02
"""Time until a crashed worker's open call fails and shows the crash."""
RESTART_S = 3.2
"""Time until a restarted worker answers at the address of one that crashed."""
START_DELAY_S = 0.015
"""Time from a decision until the worker has the order: a log append and a call."""
STOP_DELAY_S = 0.003
REPORT_DELAY_S = 0.005
REPORT_INTERVAL_S = 1.0
"""How often a worker reports while nothing ends there, with a lease of 10 s."""
MIN_DECISION_INTERVAL_S = 0.03
"""Shortest time between two decisions: the owner's step and the pause after it."""
DECISION_INTERVAL_S = 0.25
LEASE_RENEWAL_S = 600.0
FINAL_LEASE_S = 10.0
"""Time after which a worker that has left is taken to run nothing."""
SAMPLE_INTERVAL_S = 0.5
SPEED_SAMPLES_S = (5.0, 10.0, 20.0)
"""When the learnt speeds of workers are compared with the drawn ones."""
WATCH_INTERVAL_S = 0.25
"""Interval of the checks for work that stands still: a twelfth of ``MAX_IDLE_S``."""


@dataclass(frozen=True, slots=True)
class _Arrive:
    arrival: Arrival


@dataclass(frozen=True, slots=True)
class _Cancel:
    job_id: str


@dataclass(frozen=True, slots=True)
class _Start:
    order: StartTask


@dataclass(frozen=True, slots=True)
class _Stop:
    order: StopTask


@dataclass(frozen=True, slots=True)
class _End:
    worker: str
    ended: EndedTask
    running: tuple[RunningTask, ...]


@dataclass(frozen=True, slots=True)
class _CrashNoticed:
    worker: str


@dataclass(frozen=True, slots=True)
class _ProbeAnswered:
    worker: str


@dataclass(frozen=True, slots=True)
class _DepartureEnded:
    worker: str


@dataclass(frozen=True, slots=True)
class _WorkerRestarted:
    worker: str


@dataclass(frozen=True, slots=True)
class _Decide:
    pass


@dataclass(frozen=True, slots=True)
class _Sample:
    pass


@dataclass(frozen=True, slots=True)
class _SampleSpeeds:
    pass


@dataclass(frozen=True, slots=True)
class _Report:
    worker: str


@dataclass(frozen=True, slots=True)
class _Watch:
    pass


class _Replay:
    """The state of one day while it is replayed."""

    def __init__(
        self,
        plan: DayPlan,
        seed: int,
        policy: FleetPolicy,
        restored: Mapping[str, SpeedFactor],
        *,
        known_speeds: bool,
    ):
        self._plan = plan
        self._events = Events()
        self._workers = SimulatedWorkers(plan, seed, self._events, self._note_end)
        self._stills = StallDetector()
        self._full_stills = StallDetector(ignore_usage=True)
        watched = (self._stills, self._full_stills)
        self._watch = DayWatch(self._workers, watched)
        self._scheduler = create_fleet_scheduler(policy, 0.0)
        self._scheduler.state.speeds.restore(restored)
        if known_speeds:
            self._scheduler.state.speeds = KnownSpeeds(
                self._workers.get_speeds(), policy.uneven_ratio
            )
        self._drawn_speeds = draw_speeds(plan, seed)
        self._speed_samples: list[SpeedSample] = []
        self._arrivals = draw_arrivals(plan, seed)
        self._ended_s: dict[str, float] = {}
        self._began_s: dict[str, float] = {}
        self._failed: set[str] = set()
        self._given_up: set[str] = set()
        self._listed: dict[str, ListedTaskWorker] = {}
        self._final_lease_end_s: dict[str, float] = {}
        self._inbox: list[_End] = []
        self._next_decision_s: float | None = None
        self._last_decision_s = float("-inf")
        self._used: list[float] = []
        self._decision_times_s: list[float] = []

    def run(self) -> DayResult:
        plan = self._plan
        self._list_workers()
        for arrival in self._arrivals:
            self._workers.add_arrival(arrival)
            self._events.add(arrival.at_s, _Arrive(arrival))
            if arrival.cancel_s is not None:
                self._events.add(arrival.cancel_s, _Cancel(arrival.job.job_id))
        self._events.add(0.0, _Sample())
        self._events.add(0.0, _Watch())
        for at_s in SPEED_SAMPLES_S:
            self._events.add(at_s, _SampleSpeeds())
        self._schedule_decision(0.0)
        while self._events.get_next_s() <= plan.length_s + plan.finish_s:
            now_s, event = self._events.pop()
            self._handle(event, now_s)
        result = score_day(
            plan, self._arrivals, self._ended_s, self._failed, self._began_s
        )
        result.waste = self._workers.waste
        not_crashing = {a.job.job_id for a in self._arrivals if not a.crashes}
        result.given_up = len(self._given_up & not_crashing)
        result.stills = self._stills
        result.full_stills = self._full_stills
        result.used = self._used
        result.speeds = self._speed_samples
        result.decisions = len(self._decision_times_s)
        result.took_s = sum(self._decision_times_s)
        result.longest_s = max(self._decision_times_s, default=0.0)
        return result

    def _list_workers(self) -> None:
        plan = self._plan
        for number in range(plan.workers):
            rack = get_rack(plan, number)
            name = f"w{number}"
            labels = frozenset(("a", rack))
            self._listed[name] = ListedTaskWorker(
                name, SERVICE, name, "hall", rack, labels, plan.room, False, None, 0
            )
        self._scheduler.update_workers(self._listed.values(), 0.0)
        for name in list(self._scheduler.state.workers):
            self._scheduler.note_heard(name, 0.0)
            number = get_worker_number(name)
            first_s = REPORT_INTERVAL_S * (1 + number / plan.workers)
            self._events.add(first_s, _Report(name))
        total = plan.workers * plan.room.accelerators * plan.guaranteed
        shares = get_shares(plan.customers)
        self._scheduler.set_guarantees(
            {f"c{number}": int(total * share) for number, share in enumerate(shares)}
        )

    def _handle(self, event, now_s: float) -> None:
        match event:
            case _Arrive(arrival):
                self._watch.open_job(arrival)
                entry = StagedJobEntry(arrival.job)
                self._scheduler.add_job(entry, now_s, round(now_s * 1000))
            case _Cancel(job_id):
                self._watch.close_job(job_id)
                self._scheduler.cancel_job(job_id, now_s, round(now_s * 1000))
            case _Start(order):
                self._start(order, now_s)
                return
            case WorkerCrash(worker):
                if self._workers.end_worker(worker, now_s):
                    self._events.add(now_s + CRASH_NOTICE_S, _CrashNoticed(worker))
                    self._events.add(now_s + RESTART_S, _WorkerRestarted(worker))
                return
            case _CrashNoticed(worker):
                self._scheduler.note_silent(worker, now_s)
            case _ProbeAnswered(worker):
                if not self._workers.is_dead(worker):
                    self._scheduler.note_heard(worker, now_s)
            case _WorkerRestarted(worker):
                self._replace_worker(worker, now_s)
            case WorkerLeaves(worker, exit_delay_s):
                self._begin_departure(worker, exit_delay_s, now_s)
            case _DepartureEnded(worker):
                self._end_departure(worker, now_s)
            case _Stop(order):
                self._workers.stop(order, now_s)
                return
            case WorkFinished():
                self._workers.finish_work(event, now_s)
                return
            case StopFinished():
                self._workers.finish_stop(event, now_s)
                return
            case _End():
                self._inbox.append(event)
            case _Sample():
                self._sample(now_s)
                return
            case _Report(worker):
                self._report(worker, now_s)
                return
            case _SampleSpeeds():
                self._sample_speeds(now_s)
                return
            case _Watch():
                self._watch.look(self._listed.values(), now_s)
                self._events.add(now_s + WATCH_INTERVAL_S, _Watch())
                return
            case _Decide():
                self._decide(now_s)
                return
        self._schedule_decision(now_s)

    def _start(self, order: StartTask, now_s: float) -> None:
        if self._workers.is_dead(order.worker):
            self._scheduler.handle_start_answer(
                order.task, order.attempt, Code.WORKER_SILENT, True, now_s
            )
            return
        if not self._workers.start(order, now_s):
            self._scheduler.handle_start_answer(
                order.task, order.attempt, Code.ATTEMPT_TOO_OLD, False, now_s
            )
            return
        self._note_begun(order, now_s)

    def _replace_worker(self, worker: str, now_s: float) -> None:
        """List a restarted worker, under a new name, in place of one that crashed."""
        former = self._listed.pop(worker)
        place, _, life = worker.partition(".")
        name = f"{place}.{int(life or 0) + 1}"
        self._listed[name] = dataclasses.replace(former, name=name)
        self._scheduler.update_workers(self._listed.values(), now_s)
        self._scheduler.note_replaced(worker, now_s)
        self._scheduler.note_heard(name, now_s)
        self._events.add(now_s + REPORT_INTERVAL_S, _Report(name))

    def _begin_departure(self, worker: str, exit_delay_s: float, now_s: float) -> None:
        """List a worker as leaving unless it has already crashed."""
        if worker not in self._listed or self._workers.is_dead(worker):
            return
        self._workers.note_leaving(worker)
        self._listed[worker] = dataclasses.replace(
            self._listed[worker], leaving=True, remaining_s=exit_delay_s
        )
        self._scheduler.update_workers(self._listed.values(), now_s)
        self._events.add(now_s + exit_delay_s, _DepartureEnded(worker))

    def _end_departure(self, worker: str, now_s: float) -> None:
        self._workers.end_worker(worker, now_s)
        self._final_lease_end_s[worker] = now_s + FINAL_LEASE_S
        self._listed.pop(worker, None)
        self._scheduler.update_workers(self._listed.values(), now_s)
        self._scheduler.note_silent(worker, now_s)

    def _report(self, worker: str, now_s: float) -> None:
        """Deliver a report without ends, which needs no decision."""
        if worker not in self._scheduler.state.workers or self._workers.is_dead(worker):
            return
        self._events.add(now_s + REPORT_INTERVAL_S, _Report(worker))
        running = self._workers.list_running(worker, now_s)
        now_ms = round(now_s * 1000)
        report = WorkerReport(now_ms, running, (), complete=False)
        self._scheduler.handle_report(worker, report, now_s, now_s, now_ms)

    def _note_begun(self, order: StartTask, now_s: float) -> None:
        self._began_s.setdefault(order.task.partition(".")[0], now_s)
        self._scheduler.handle_start_answer(
            order.task, order.attempt, None, False, now_s
        )

    def _note_end(self, worker: str, ended: EndedTask, now_s: float) -> None:
        self._watch.note_end(ended)
        running = self._workers.list_running(worker, now_s)
        self._events.add(now_s + REPORT_DELAY_S, _End(worker, ended, running))

    def _schedule_decision(self, now_s: float) -> None:
        at_s = max(now_s, self._last_decision_s + MIN_DECISION_INTERVAL_S)
        if self._next_decision_s is None or at_s < self._next_decision_s:
            self._next_decision_s = at_s
            self._events.add(at_s, _Decide())

    def _decide(self, now_s: float) -> None:
        if self._next_decision_s is None or now_s < self._next_decision_s:
            return
        self._next_decision_s = None
        self._last_decision_s = now_s
        now_ms = round(now_s * 1000)
        began_s = time.perf_counter()
        self._renew_leases(now_s)
        for end in self._inbox:
            report = WorkerReport(now_ms, end.running, (end.ended,), complete=False)
            self._scheduler.handle_report(end.worker, report, now_s, now_s, now_ms)
        self._inbox = []
        decided = self._scheduler.decide(now_s, now_ms)
        self._decision_times_s.append(time.perf_counter() - began_s)
        self._apply(decided, now_s)
        self._schedule_decision(
            now_s + (0.0 if self._scheduler.has_more else DECISION_INTERVAL_S)
        )

    def _renew_leases(self, now_s: float) -> None:
        for worker in self._scheduler.state.workers.values():
            renewed_s = now_s + LEASE_RENEWAL_S
            worker.lease_end_s = self._final_lease_end_s.get(worker.name, renewed_s)

    def _apply(self, decided: Round, now_s: float) -> None:
        for record in decided.records:
            if isinstance(record, JobOutcome):
                self._ended_s[record.job_id] = now_s
                self._watch.close_job(record.job_id)
                if record.code == Code.JOB_FAILED:
                    self._failed.add(record.job_id)
        for note in decided.notes:
            if note.event == "job-given-up":
                self._given_up.add(note.fields["job"])
                self._watch.close_job(note.fields["job"])
        for name in decided.probes:
            self._events.add(now_s + REPORT_DELAY_S, _ProbeAnswered(name))
        for order in decided.starts:
            self._events.add(now_s + START_DELAY_S, _Start(order))
        for order in decided.stops:
            self._events.add(now_s + STOP_DELAY_S, _Stop(order))

    def _sample(self, now_s: float) -> None:
        if now_s >= self._plan.length_s:
            return
        workers = self._scheduler.state.workers.values()
        used = sum(worker.used.accelerators for worker in workers)
        total = self._plan.workers * self._plan.room.accelerators
        self._used.append(used / total)
        self._events.add(now_s + SAMPLE_INTERVAL_S, _Sample())

    def _sample_speeds(self, now_s: float) -> None:
        speeds = self._scheduler.state.speeds
        factors = {name: known.factor for name, known in speeds.list_known().items()}
        errors = [
            factor / self._drawn_speeds[get_worker_number(name)]
            for name, factor in factors.items()
        ]
        sample = SpeedSample(now_s, speeds.is_uneven, tuple(errors))
        self._speed_samples.append(sample)


def replay(
    plan: DayPlan,
    seed: int,
    policy: FleetPolicy,
    restored: Mapping[str, SpeedFactor] | None = None,
    *,
    known_speeds: bool = False,
) -> DayResult:
    """Replay the day that ``plan`` and ``seed`` determine and return its result.

    ``restored`` is the speed record with which the owner begins, by worker. With
    ``known_speeds`` the scheduler knows the workers' factors from the start.
    """
    day = _Replay(plan, seed, policy, restored or {}, known_speeds=known_speeds)
    return day.run()
