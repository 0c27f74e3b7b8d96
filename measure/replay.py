"""Replay a workload against the hall scheduler or a baseline."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from lab.events import Events
from larkhoist.codes import Code
from larkhoist.log.records import JobFinished, JobRequeued
from larkhoist.placement.fragmentation import (
    ExpectedShape,
    get_fragmentation,
    get_largest_block,
)
from larkhoist.placement.index import FreeIndex
from larkhoist.ports.worker import TaskReport, TaskState, Verb
from larkhoist.scheduling.effect import Append, Send
from larkhoist.scheduling.hall import create_hall_scheduler
from larkhoist.scheduling.policy import SchedulingPolicy
from larkhoist.scheduling.quarantine import FAILURES_TO_QUARANTINE
from measure.baseline_placement import BaselineFit, find_baseline_places
from measure.workload import HALL, Arrival, Workload

__all__ = [
    "EXPECTED_SHAPES",
    "ReplayResult",
    "replay_baseline",
    "replay_hall_scheduler",
]

EXPECTED_SHAPES = (
    ExpectedShape(1, 1, "worker", 0.35),
    ExpectedShape(1, 4, "worker", 0.25),
    ExpectedShape(4, 8, "rack", 0.25),
    ExpectedShape(8, 8, "rack", 0.15),
)
TICK_S = 1.0
SAMPLE_S = 10.0
MAX_REPLAY_S = 6 * 3600.0


@dataclass(slots=True)
class ReplayResult:
    """The results of one replay; times are in seconds, lost work in accelerator-s."""

    completion: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    wait: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    fragmentation: list[float] = field(default_factory=list)
    largest_block: list[int] = field(default_factory=list)
    ends: Counter = field(default_factory=Counter)
    lost_work: float = 0.0
    broken_guarantees: int = 0
    unfinished: int = 0

    def note_sample(self, index: FreeIndex, worker_size: int) -> None:
        """Record the fragmentation, unless no accelerator is free."""
        if index.free_total:
            self.fragmentation.append(get_fragmentation(index, EXPECTED_SHAPES))
            self.largest_block.append(get_largest_block(index, worker_size))

    def note_end(self, arrival: Arrival, started_s: float, now_s: float) -> None:
        """Record the completion and waiting times of a finished job."""
        self.completion[arrival.kind].append(now_s - arrival.at_s)
        self.wait[arrival.kind].append(started_s - arrival.at_s)


@dataclass(frozen=True, slots=True)
class _Arrive:
    arrival: Arrival


@dataclass(frozen=True, slots=True)
class _Cancel:
    job_id: str


@dataclass(frozen=True, slots=True)
class _Finish:
    job_id: str
    attempt: int
    worker: str
    failed: bool


@dataclass(frozen=True, slots=True)
class _Tick:
    pass


def _queue_arrivals(events: Events, workload: Workload) -> None:
    for arrival in workload.arrivals:
        events.add(arrival.at_s, _Arrive(arrival))
        if arrival.cancel_s is not None:
            events.add(arrival.cancel_s, _Cancel(arrival.spec.job_id))


class _HallReplay:
    """Drive the hall scheduler with workers that execute commands without delay."""

    def __init__(self, workload, workers, accelerators, per_rack, policy):
        self.workload = workload
        self.size = accelerators
        self.scheduler = create_hall_scheduler(HALL, policy)
        self.scheduler.set_customers(workload.customers)
        for number in range(workers):
            rack = f"r{number // per_rack}"
            self.scheduler.add_worker(f"w{number}", rack, accelerators)
        self.events = Events()
        self.result = ReplayResult()
        self.arrivals = {a.spec.job_id: a for a in workload.arrivals}
        self.tasks: dict[str, dict[tuple[str, int, int], TaskReport]] = defaultdict(
            dict
        )
        self.remaining_s = {a.spec.job_id: a.run_s for a in workload.arrivals}
        self.started: dict[tuple[str, int], float] = {}
        self.first_start: dict[str, float] = {}
        self.sampled_s = 0.0
        self.now_s = 0.0

    def run(self) -> ReplayResult:
        """Replay until every job has ended, or for ``MAX_REPLAY_S`` at most."""
        _queue_arrivals(self.events, self.workload)
        self.events.add(0.0, _Tick())
        while self.events:
            self.now_s, event = self.events.pop()
            if self.now_s > MAX_REPLAY_S:
                break
            self._handle(event)
            self._decide()
        self.result.unfinished = len(self.scheduler.jobs)
        return self.result

    def _handle(self, event) -> None:
        scheduler = self.scheduler
        match event:
            case _Arrive(arrival):
                scheduler.add_job(arrival.spec, 1, self.now_s)
            case _Cancel(job_id) if job_id in scheduler.jobs:
                self._apply_effects(scheduler.cancel_job(job_id, self.now_s))
            case _Finish(job_id, attempt, worker, failed):
                self._finish(job_id, attempt, worker, failed)
            case _Tick():
                more = self.now_s < self.workload.end_s or scheduler.jobs
                if more:
                    self.events.add(self.now_s + TICK_S, _Tick())
                if self.now_s - self.sampled_s >= SAMPLE_S:
                    self._sample()

    def _sample(self) -> None:
        self.sampled_s = self.now_s
        if self.now_s > self.workload.end_s:
            return
        accelerators = self.scheduler.accelerators
        index = accelerators.make_subindex(accelerators.workers)
        self.result.note_sample(index, self.size)
        covered, _ = self.scheduler.check_guarantees()
        self.result.broken_guarantees += not covered

    def _decide(self) -> None:
        while True:
            effects = self.scheduler.decide(self.now_s)
            if not effects:
                return
            self._apply_effects(effects)

    def _apply_effects(self, effects) -> None:
        for effect in effects:
            match effect:
                case Send(worker, command):
                    self._execute(worker, command)
                case Append(JobFinished(job_id, _, _, code)):
                    self._end(job_id, Code(code))
                case Append(JobRequeued(_, _, _, code)):
                    self.result.ends[f"requeued {Code(code).name}"] += 1

    def _execute(self, worker, command) -> None:
        key = (command.job_id, command.attempt, command.member)
        tasks = self.tasks[worker]
        match command.verb:
            case Verb.PREPARE:
                tasks[key] = TaskReport(*key, TaskState.PREPARED, command.accelerators)
            case Verb.START:
                self._start(worker, key)
            case Verb.STOP:
                if key in tasks:
                    self._note_stop(key)
                    del tasks[key]
                self._report(worker)
            case Verb.FORGET:
                tasks.pop(key, None)
        self.scheduler.note_command(command, True)

    def _start(self, worker, key) -> None:
        job_id, attempt, _ = key
        old = self.tasks[worker][key]
        self.tasks[worker][key] = TaskReport(*key, TaskState.RUNNING, old.accelerators)
        failed = worker in self.workload.failing_workers
        if (job_id, attempt) not in self.started:
            self.started[(job_id, attempt)] = self.now_s
            self.first_start.setdefault(job_id, self.now_s)
        if failed:
            self.events.add(self.now_s + 1.0, _Finish(job_id, attempt, worker, True))
        else:
            end_s = self.now_s + self.remaining_s[job_id]
            self.events.add(end_s, _Finish(job_id, attempt, worker, False))

    def _finish(self, job_id, attempt, worker, failed) -> None:
        state = TaskState.FAILED if failed else TaskState.FINISHED
        found = False
        for key, task in list(self.tasks[worker].items()):
            if key[:2] == (job_id, attempt) and task.state is TaskState.RUNNING:
                self.tasks[worker][key] = TaskReport(*key, state, task.accelerators)
                found = True
        if found:
            self._report(worker)

    def _report(self, worker) -> None:
        reports = tuple(self.tasks[worker].values())
        self._apply_effects(self.scheduler.note_report(worker, reports))

    def _note_stop(self, key) -> None:
        job_id, attempt, _ = key
        started_s = self.started.pop((job_id, attempt), None)
        if started_s is None:
            return
        ran_s = self.now_s - started_s
        job = self.scheduler.jobs[job_id]
        if job.current is not None and job.current.is_checkpointed:
            self.remaining_s[job_id] = max(0.1, self.remaining_s[job_id] - ran_s)
        else:
            self.result.lost_work += ran_s * job.spec.total

    def _end(self, job_id, code) -> None:
        self.result.ends[code.name] += 1
        arrival = self.arrivals[job_id]
        if code is Code.JOB_FINISHED:
            self.result.note_end(arrival, self.first_start[job_id], self.now_s)
        self._apply_effects(self.scheduler.note_ended(job_id))


def replay_hall_scheduler(
    workload: Workload,
    workers: int,
    accelerators: int,
    per_rack: int,
    policy: SchedulingPolicy,
) -> ReplayResult:
    """Replay ``workload`` against the hall scheduler."""
    return _HallReplay(workload, workers, accelerators, per_rack, policy).run()


def replay_baseline(
    workload: Workload, workers: int, accelerators: int, per_rack: int, fit: BaselineFit
) -> ReplayResult:
    """Replay ``workload`` in the order of arrival, with workers chosen by ``fit``."""
    index = FreeIndex()
    for number in range(workers):
        index.add_worker(f"w{number}", f"r{number // per_rack}", accelerators)
    events = Events()
    _queue_arrivals(events, workload)
    result = ReplayResult()
    waiting: dict[str, Arrival] = {}
    running: dict[str, tuple[Arrival, list, float]] = {}
    attempts: Counter = Counter()
    sampled_s = 0.0
    failures = 0
    while events:
        now_s, event = events.pop()
        if now_s > MAX_REPLAY_S:
            break
        match event:
            case _Arrive(arrival):
                waiting[arrival.spec.job_id] = arrival
            case _Cancel(job_id):
                waiting.pop(job_id, None)
            case _Finish(job_id, attempt, _, failed):
                if job_id in running and attempts[job_id] == attempt:
                    arrival, places, started_s = running.pop(job_id)
                    index.give_back(places)
                    if not failed:
                        result.note_end(arrival, started_s, now_s)
                    else:
                        waiting[job_id] = arrival
                        failures += 1
        if failures >= FAILURES_TO_QUARANTINE:
            # Baselines get a quarantine too, so that only placement is compared.
            for name in workload.failing_workers:
                index.set_free(name, 0)
        _place_waiting(index, waiting, running, attempts, events, workload, fit, now_s)
        if now_s - sampled_s >= SAMPLE_S and now_s <= workload.end_s:
            sampled_s = now_s
            result.note_sample(index, accelerators)
    result.unfinished = len(waiting) + len(running)
    return result


def _place_waiting(
    index, waiting, running, attempts, events, workload, fit, now_s
) -> None:
    failed_shapes = set()
    for job_id, arrival in list(waiting.items()):
        spec = arrival.spec
        shape = (spec.members, spec.accelerators, spec.adjacency)
        if shape in failed_shapes:
            continue
        places = find_baseline_places(index, spec, fit)
        if places is None:
            failed_shapes.add(shape)
            continue
        index.take(places)
        del waiting[job_id]
        running[job_id] = (arrival, places, now_s)
        attempts[job_id] += 1
        failed = any(place.worker in workload.failing_workers for place in places)
        run_s = 1.0 if failed else arrival.run_s
        event = _Finish(job_id, attempts[job_id], places[0].worker, failed)
        events.add(now_s + run_s, event)
