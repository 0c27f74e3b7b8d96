"""Check how work that stands still beside free room is found."""

import math
from dataclasses import replace

import pytest

from lab.arrivals import Arrival, draw_arrivals
from lab.events import Events
from lab.kinds import FailingWorkers
from lab.plans import make_plan
from lab.progress import StallDetector
from lab.replay import WATCH_INTERVAL_S, replay
from lab.watch import DayWatch
from lab.workers import SimulatedWorkers
from larkhoist.fleet.effects import StartTask, StopTask
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.scheduler import FleetScheduler
from larkhoist.jobs.spec import JobTerms, StagedJob, StepSpec
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from larkhoist.ports.task_worker import EndedTask, EndKind

POLICY = FleetPolicy(stop_s=0.4, restore_s=0.6)
ROOM = Resources(32_000, 65_536, 8)
HALF = StepSpec(count=1, cpu_milli=16_000, accelerators=4)
QUARTER = StepSpec(count=1, cpu_milli=8_000, accelerators=2)


class WatchedDay:
    """Simulated workers and jobs without a scheduler, and what ``DayWatch`` finds."""

    def __init__(self, workers: int = 2, faults=()):
        plan = replace(make_plan("calm", workers), faults=faults)
        self.kind = plan.kinds[0]
        self.workers = SimulatedWorkers(plan, 0, Events(), self.report)
        self.stills = StallDetector()
        self.full_stills = StallDetector(ignore_usage=True)
        self.watch = DayWatch(self.workers, (self.stills, self.full_stills))
        self.listed = [make_listed(f"w{number}") for number in range(workers)]
        self.now_s = 0.0

    def report(self, worker: str, ended: EndedTask, now_s: float) -> None:
        self.watch.note_end(ended)

    def submit(self, number: int, *steps: StepSpec) -> str:
        terms = JobTerms("service")
        job = StagedJob(f"{number:016x}", "q", "c", "text", steps, terms, 0)
        work_s = tuple((100.0,) * step.count for step in steps)
        arrival = Arrival(0.0, self.kind, job, work_s, None, always_fails=False)
        self.workers.add_arrival(arrival)
        self.watch.open_job(arrival)
        return job.job_id

    def start(self, job_id: str, worker: str, task: str = "0.0.0") -> None:
        name = f"{job_id}.{task}"
        self.workers.start(make_start(name, worker), self.now_s)

    def list_done(self, job_id: str, task: str = "0.0.0") -> None:
        ended = EndedTask(1, f"{job_id}.{task}", 1, EndKind.DONE, "")
        self.watch.note_end(ended)

    def look(self, seconds: float) -> None:
        for _ in range(round(seconds / WATCH_INTERVAL_S)):
            self.watch.look(self.listed, self.now_s)
            self.now_s += WATCH_INTERVAL_S


def make_start(task: str, worker: str) -> StartTask:
    return StartTask(worker, task, attempt=1, payload="text", checkpoint="")


def make_listed(name: str) -> ListedTaskWorker:
    labels = frozenset(("a", "r0"))
    return ListedTaskWorker(
        name, "service", name, "hall", "r0", labels, ROOM, False, None, 0
    )


def test_work_that_could_run_and_does_not_stands_still():
    day = WatchedDay()
    job_id = day.submit(1, HALF)
    day.look(5.25)
    assert list(day.stills.found) == [(job_id, 0)]
    assert day.stills.longest_s == 5.0
    assert day.full_stills.found == day.stills.found


def test_up_to_three_seconds_are_no_stand_still():
    day = WatchedDay()
    day.submit(1, HALF)
    day.look(3.25)
    assert day.full_stills.found == {}


def test_room_that_is_there_only_once_is_no_stand_still():
    day = WatchedDay(workers=1)
    day.start(day.submit(1, HALF), "w0")
    day.submit(2, HALF)
    day.look(10.0)
    assert day.stills.found == {}
    assert day.full_stills.found == {}


def test_a_gang_needs_room_for_all_of_it_twice():
    gang = StepSpec(count=2, cpu_milli=16_000, accelerators=4, gang=True)
    small, large = WatchedDay(workers=1), WatchedDay(workers=2)
    for day in (small, large):
        day.submit(1, gang)
        day.look(5.0)
    assert small.full_stills.found == {}
    assert large.full_stills.found != {}


def test_the_share_in_use_counts_by_the_rule_alone():
    over_half = StepSpec(count=1, cpu_milli=16_001, accelerators=5)
    day = WatchedDay(workers=1)
    day.start(day.submit(1, over_half), "w0")
    waiting = day.submit(2, StepSpec(count=1, cpu_milli=7_999, accelerators=1))
    day.look(5.0)
    assert day.stills.found == {}
    assert list(day.full_stills.found) == [(waiting, 0)]


def test_exactly_half_in_use_is_not_too_much():
    day = WatchedDay(workers=1)
    day.start(day.submit(1, HALF), "w0")
    waiting = day.submit(2, QUARTER)
    day.look(5.0)
    assert list(day.stills.found) == [(waiting, 0)]
    assert list(day.full_stills.found) == [(waiting, 0)]


def test_half_counts_by_what_is_used_least():
    day = WatchedDay(workers=1)
    day.start(day.submit(1, StepSpec(count=1, cpu_milli=20_000, accelerators=1)), "w0")
    day.submit(2, StepSpec(count=1, cpu_milli=2_800, accelerators=1))
    day.submit(3, StepSpec(count=1, cpu_milli=2_800))
    day.look(5.0)
    assert len(day.stills.found) == 1
    assert len(day.full_stills.found) == 2


def test_one_running_task_moves_the_whole_job():
    day = WatchedDay()
    job_id = day.submit(1, StepSpec(count=3, cpu_milli=8_000, accelerators=2))
    day.start(job_id, "w0")
    day.look(10.0)
    assert day.full_stills.found == {}


def test_what_ran_between_two_looks_has_run():
    day = WatchedDay()
    job_id = day.submit(1, HALF)
    day.look(2.5)
    day.start(job_id, "w0")
    day.workers.end_worker("w0", day.now_s)
    day.look(2.5)
    assert day.full_stills.found == {}


def test_a_step_counts_once_its_earlier_steps_are_done():
    day = WatchedDay()
    first = StepSpec(count=2, cpu_milli=8_000, accelerators=2)
    second = StepSpec(count=1, cpu_milli=8_000, accelerators=2, depends_on=(0,))
    job_id = day.submit(1, first, second)
    day.start(job_id, "w0")
    day.list_done(job_id, "0.0.1")
    day.workers.end_worker("w0", day.now_s)
    day.listed.append(make_listed("w0.1"))
    day.look(5.0)
    assert list(day.full_stills.found) == [(job_id, 0)]
    day.list_done(job_id, "0.0.0")
    day.look(5.0)
    assert list(day.full_stills.found) == [(job_id, 0), (job_id, 1)]


@pytest.mark.parametrize(("workers", "limit"), [(1, 2), (2, 1)])
def test_tasks_that_are_done_take_nothing_of_a_spread_limit(workers, limit):
    day = WatchedDay(workers)
    spec = StepSpec(count=4, cpu_milli=1_000, accelerators=1, spread_limit=limit)
    job_id = day.submit(1, spec)
    day.list_done(job_id, "0.0.0")
    day.list_done(job_id, "0.0.1")
    day.look(5.0)
    assert list(day.full_stills.found) == [(job_id, 0)]


def test_room_beyond_a_spread_limit_does_not_count():
    day = WatchedDay(workers=1)
    spec = StepSpec(count=4, cpu_milli=1_000, accelerators=1, spread_limit=1)
    day.submit(1, spec)
    day.look(5.0)
    assert day.full_stills.found == {}


def test_a_job_that_is_closed_does_not_count():
    day = WatchedDay()
    day.watch.close_job(day.submit(1, HALF))
    day.look(5.0)
    assert day.full_stills.found == {}


@pytest.mark.parametrize("unsound", ["crashed", "failing"])
def test_room_on_workers_that_are_not_sound_does_not_count(unsound):
    faults = (FailingWorkers(0.0, 100.0, 1.0),) if unsound == "failing" else ()
    day = WatchedDay(faults=faults)
    day.submit(1, HALF)
    if unsound == "crashed":
        for worker in ("w0", "w1"):
            day.workers.end_worker(worker, 0.0)
    day.look(5.0)
    assert day.full_stills.found == {}


def test_a_start_that_a_stop_has_overtaken_does_not_begin():
    day = WatchedDay()
    task = f"{day.submit(1, HALF)}.0.0.0"
    day.workers.stop(StopTask("w0", task, 1), 0.0)
    assert not day.workers.start(make_start(task, "w0"), 0.0)
    assert list(day.workers.iter_runs()) == []


@pytest.mark.parametrize("seed", range(2))
def test_no_start_is_told_to_have_begun_that_has_not(seed, monkeypatch):
    # If a start that did not take place is confirmed, the scheduler stops the attempt
    # over and over, and its job does not end.
    told = []
    real_start = SimulatedWorkers.start
    real_answer = FleetScheduler.handle_start_answer

    def start(workers, order, now_s):
        begun = real_start(workers, order, now_s)
        running = (order.task, order.attempt) in workers._runs
        told.append([running])
        return begun

    def answer(scheduler, task, attempt, code, may_have_started, now_s):
        if told and len(told[-1]) == 1:
            told[-1].append(code is None)
        real_answer(scheduler, task, attempt, code, may_have_started, now_s)

    monkeypatch.setattr(SimulatedWorkers, "start", start)
    monkeypatch.setattr(FleetScheduler, "handle_start_answer", answer)
    replay(make_plan("faults", 24), seed, POLICY)
    assert told
    assert [pair for pair in told if pair[0] != pair[1]] == []


def test_a_day_has_the_same_stand_stills_each_time():
    plan = make_plan("scarce", 24)
    first, second = (replay(plan, 1, POLICY) for _ in range(2))
    assert first.stills.found == second.stills.found
    assert first.full_stills.found == second.full_stills.found


def test_scarce_days_are_above_half_in_processor_and_below_in_accelerators():
    plan = make_plan("scarce", 24)
    wanted = Resources()
    for arrival in draw_arrivals(plan, 0):
        for step, work_s in zip(arrival.job.steps, arrival.work_s, strict=True):
            wanted += step.need.scale(math.ceil(sum(work_s)))
    total = plan.room.scale(round(plan.workers * plan.length_s))
    assert wanted.cpu_milli > 0.5 * total.cpu_milli
    assert wanted.accelerators < 0.5 * total.accelerators


@pytest.mark.parametrize("seed", range(3))
def test_no_work_stands_still_while_accelerators_are_free(seed):
    # Long tasks fill the processors, and most accelerators are guaranteed but not
    # claimed. Tasks that can't be stopped cheaply must be started there all the same.
    result = replay(make_plan("scarce", 24), seed, POLICY)
    assert result.stills.found == {}


@pytest.mark.parametrize("seed", range(2))
def test_workers_that_leave_for_good_do_not_come_back(seed):
    events = Events()
    plan = make_plan("departures", 24)
    workers = SimulatedWorkers(plan, seed, events, lambda *told: None)
    leaving = [events.pop() for _ in range(round(0.6 * 24))]
    assert not events
    for at_s, event in leaving:
        assert 2.0 <= at_s <= 10.0
        assert workers.is_healthy(event.worker, at_s)
        workers.note_leaving(event.worker)
        assert not workers.is_healthy(event.worker, at_s)
    assert len({event.worker for _, event in leaving}) == len(leaving)


@pytest.mark.parametrize("seed", [0, 2, 4])
def test_no_work_stands_still_after_workers_have_left_for_good(seed):
    result = replay(make_plan("departures", 24), seed, POLICY)
    assert result.stills.found == {}
