"""Force the orders in which tasks end while their workers leave.

A worker that leaves may list an end in an answer that never arrives. Each order is
named after what gets lost. A start must not follow an end that was listed.
"""

from dataclasses import dataclass, replace

import pytest

from larkhoist.jobs.spec import StepSpec
from larkhoist.ports.task_worker import EndKind
from tests.fleet.cases import make_job, make_machine
from tests.fleet.checks import check_history, check_listed_ends
from tests.fleet.machine import STEP_S, FleetMachine
from tests.fleet.sim_worker import LEAVE_NOTICE_S, STOP_S, Run, SimWorker

AFTER_NOTICE_S = LEAVE_NOTICE_S + 1.0
"""Time from the announcement to the end of a task that outlasts the notice."""
RAN_S = 1.0
"""How long the tasks have run when their workers announce that they leave."""
OBSERVED_S = 25.0
"""Longer than the longest lease and a take-over."""
ONE = StepSpec(count=1, cpu_milli=1000, memory_mb=100, accelerators=8, estimate_ms=900)
TWO = StepSpec(count=2, cpu_milli=1000, memory_mb=100, accelerators=8, estimate_ms=900)
GANG = StepSpec(
    count=2,
    cpu_milli=1000,
    memory_mb=100,
    accelerators=8,
    estimate_ms=900,
    gang=True,
)
GANG_ON_ONE = StepSpec(
    count=2,
    cpu_milli=1000,
    memory_mb=100,
    accelerators=4,
    estimate_ms=900,
    gang=True,
)
SAVING = StepSpec(
    count=1,
    cpu_milli=1000,
    memory_mb=100,
    accelerators=8,
    estimate_ms=900,
    checkpoints=True,
)
STOPPED = StepSpec(
    count=1,
    cpu_milli=1000,
    memory_mb=100,
    accelerators=8,
    estimate_ms=60_000,
    checkpoints=True,
)


@dataclass(frozen=True, slots=True)
class Order:
    """An order of events; times are in seconds.

    ``leaving`` workers end ``ends_after_s`` after the task has; a negative time is
    before. They tell how long they stay if ``tells_remaining``. Answers are lost from
    the end of the task on if ``loses_answer``, and calls too if ``loses_call``.
    ``task_ends_s`` counts from the announcement, which the owner reads
    ``notice_lag_s`` late. The entry goes ``entry_goes_s`` before the end of the task.
    ``new_owner_s`` is when another owner takes over after the announcement.
    ``comes_back`` is how the worker restarts, ``fails`` how often the task fails.
    """

    name: str
    spec: StepSpec = ONE
    leaving: int = 1
    announced: bool = True
    tells_remaining: bool = True
    crashes: bool = False
    task_ends_s: float = AFTER_NOTICE_S
    ends_after_s: float = STEP_S
    loses_answer: bool = True
    loses_call: bool = False
    loses_record: bool = False
    fails: str = ""
    max_attempts: int = 3
    entry_goes_s: float | None = None
    entry_stays_s: float = 0.0
    notice_lag_s: float = 0.0
    new_owner_s: float | None = None
    comes_back: str = ""


ORDERS = (
    Order("nothing-by-the-announced-time", task_ends_s=1.0, loses_answer=False),
    Order("nothing-after-the-announced-time", loses_answer=False),
    Order("the-acknowledgement", loses_answer=False, ends_after_s=0.0),
    Order("the-run-before-its-end", ends_after_s=-STEP_S),
    Order("the-call-before-it-lists", loses_call=True),
    Order("an-answer-that-is-written-again", ends_after_s=3.0),
    Order("the-answer"),
    Order("the-answer-at-the-announced-time", task_ends_s=LEAVE_NOTICE_S),
    Order(
        "the-answer-after-a-late-notice",
        task_ends_s=LEAVE_NOTICE_S,
        notice_lag_s=0.8,
    ),
    Order("the-answer-and-the-next-call", ends_after_s=0.4),
    Order("the-answer-after-the-entry", entry_goes_s=1.0),
    Order("the-answer-while-the-entry-stays", entry_stays_s=5.0),
    Order("the-answer-before-a-replacement", comes_back="replaced"),
    Order("the-answer-before-a-restart", comes_back="restarted"),
    Order("the-answer-to-the-next-owner", new_owner_s=1.0),
    Order("the-answer-before-the-next-owner", new_owner_s=AFTER_NOTICE_S + 0.5),
    Order(
        "the-record-of-an-answer",
        loses_answer=False,
        ends_after_s=0.0,
        loses_record=True,
        new_owner_s=AFTER_NOTICE_S,
    ),
    Order("the-answer-with-a-failure", fails="once"),
    Order("the-answer-with-the-only-failure", fails="once", max_attempts=1),
    Order("the-answer-with-one-of-all-failures", fails="always"),
    Order("the-answer-with-a-stop", STOPPED, task_ends_s=0.5),
    Order("the-answer-of-a-task-with-a-checkpoint", SAVING),
    Order("the-answer-of-one-member", GANG),
    Order("the-answers-of-all-members", GANG, leaving=2),
    Order("the-answer-of-a-whole-gang", GANG_ON_ONE),
    Order("two-answers", TWO, leaving=2),
    Order("the-answer-of-an-unannounced-leave", announced=False),
    Order("the-answer-in-a-crash", announced=False, crashes=True),
)


@pytest.mark.parametrize("order", ORDERS, ids=lambda order: order.name)
def test_no_start_follows_an_end_that_was_listed(order):
    machine = play(order)
    check_history(machine)
    check_listed_ends(machine)


@pytest.mark.parametrize("order", ORDERS, ids=lambda order: order.name)
def test_every_job_ends_whatever_a_leaving_worker_takes_along(order):
    machine = play(order)
    entry = next(iter(machine.registry.entries.values()))
    assert entry.outcome is not None


def play(order: Order) -> FleetMachine:
    """Play an order of events; return the machine long after."""
    machine = begin(order)
    machine.list_lag_s = order.notice_lag_s
    world = machine.world
    runs = list(world.history)
    leaving = list({run.worker: run.sim_worker for run in runs}.values())
    leaving = leaving[: order.leaving]
    announced_s = machine.now_s
    if not order.crashes:
        for worker in leaving:
            world.leave(worker, machine.now_s, 1000.0, announced=order.announced)
            worker.tells_remaining = order.tells_remaining
            # An entry goes later than the decision to leave.
            worker.listed = True
    while not is_about_to_end(runs, machine, order, announced_s):
        step(machine, order, announced_s, runs, leaving)
    if order.ends_after_s < 0.0:
        end_workers(machine, order, leaving)
    lose(machine, order, leaving)
    step(machine, order, announced_s, runs, leaving)
    ended_s = machine.now_s
    while machine.now_s < ended_s + order.ends_after_s - STEP_S / 2:
        machine.lost_answers.clear()
        step(machine, order, announced_s, runs, leaving)
    machine.lost_answers.clear()
    if not all(worker.dead for worker in leaving):
        end_workers(machine, order, leaving)
    machine.cut.clear()
    while machine.now_s < ended_s + OBSERVED_S:
        step(machine, order, announced_s, runs, leaving)
        bring_back(machine, order, leaving)
    return machine


def begin(order: Order) -> FleetMachine:
    """Return a machine whose tasks have run for a while."""
    job = make_job(1, order.spec, max_attempts=order.max_attempts)
    machine = make_machine(
        5,
        (job,),
        work_s=1000.0,
        fails=lambda task, worker: (
            order.fails == "always" or order.fails == "once" and worker == "w0"
        ),
    )
    machine.calls_wait = True
    machine.run(1.0)
    machine.submit(job)
    machine.run(0.5)
    assert len(machine.world.history) == order.spec.count
    machine.run(RAN_S)
    return machine


def step(
    machine: FleetMachine,
    order: Order,
    announced_s: float,
    runs: list[Run],
    leaving: list[SimWorker],
) -> None:
    """Advance one step; a change of owner and of the list comes before it."""
    since_s = machine.now_s - announced_s
    new_owner_s = order.new_owner_s
    if new_owner_s is not None and machine.term == 1 and since_s >= new_owner_s - 0.01:
        if order.loses_record:
            machine.owner.uncommitted = []
        machine.replace_owner()
    if order.entry_goes_s is not None and since_s >= (
        order.task_ends_s - order.entry_goes_s
    ):
        for worker in leaving:
            worker.listed = False
    machine.step()


def is_about_to_end(
    runs: list[Run], machine: FleetMachine, order: Order, announced_s: float
) -> bool:
    """Set the work so that the runs end in the next step, if it is time."""
    due_s = announced_s + order.task_ends_s
    stops = [run.stop_requested_s for run in runs if run.stop_requested_s is not None]
    if stops:
        return machine.now_s + STEP_S >= min(stops) + STOP_S
    if machine.now_s + STEP_S < due_s - 0.01:
        return False
    if order.spec is not STOPPED:
        # Later runs take as long as those of a short task.
        machine.world.work_s_of = lambda _: RAN_S
    return True


def lose(machine: FleetMachine, order: Order, leaving: list[SimWorker]) -> None:
    """Have answers or calls get lost in the next step."""
    addresses = {worker.address for worker in leaving}
    if order.loses_call:
        machine.cut |= addresses
    elif order.loses_answer:
        machine.lost_answers |= addresses


def end_workers(machine: FleetMachine, order: Order, leaving: list[SimWorker]) -> None:
    """End workers at once, before any further call."""
    machine.list_lag_s = order.entry_stays_s
    for worker in leaving:
        machine.world.kill(worker, machine.now_s)
        worker.listed = False
        if not order.crashes:
            worker.ends_s = machine.now_s
    machine.world.work_s_of = lambda _: RAN_S


def bring_back(machine: FleetMachine, order: Order, leaving: list[SimWorker]) -> None:
    """Start another incarnation at the address, if the order says so."""
    for worker in leaving:
        up = machine.world.find_at(worker.address)
        if up is not None or machine.now_s < worker.dead_since_s + 1.0:
            continue
        match order.comes_back:
            case "replaced":
                machine.world.start_replacement(worker)
            case "restarted":
                machine.world.restart(worker, machine.now_s)


def test_the_orders_list_what_their_names_say():
    # No task is stopped in time where the worker does not tell how long it stays.
    orders = [replace(order, tells_remaining=False) for order in ORDERS]
    listed = {order.name: describe_ends(play(order)) for order in orders}
    for name in ("the-answer", "two-answers", "the-answer-in-a-crash"):
        assert set(listed[name]) == {(EndKind.DONE, True)}, name
    assert listed["the-call-before-it-lists"] == [(EndKind.DONE, False)]
    assert listed["the-run-before-its-end"] == [(None, False)]
    assert listed["the-answer-with-a-stop"] == [(EndKind.STOPPED, True)]
    assert listed["the-answer-with-a-failure"] == [(EndKind.FAILED, True)]


def describe_ends(machine: FleetMachine) -> list[tuple[EndKind | None, bool]]:
    """Return the kind of each first run's end and whether it was listed."""
    return [
        (run.kind, run.listed_s is not None)
        for run in machine.world.history
        if run.attempt == 1
    ]


@pytest.mark.parametrize("away_s", [0.4, 1.0])
def test_no_start_follows_an_end_that_only_the_next_owner_could_hear(away_s):
    # The worker writes the first answer to the next owner at the time it announced, or
    # later, and ends behind it.
    order = Order("none")
    machine = begin(order)
    (run,) = machine.world.history
    worker = run.sim_worker
    machine.world.leave(worker, machine.now_s, 1000.0, announced=True)
    until_s = worker.serves_until_s
    while machine.now_s < until_s - 0.35:
        machine.step()
    machine.owner_is_away = True
    machine.world.work_s_of = lambda _: RAN_S
    machine.run(away_s)
    machine.owner_is_away = False
    machine.replace_owner()
    machine.lost_answers.add(worker.address)
    while run.listed_s is None:
        machine.step()
    assert run.listed_s >= until_s
    machine.lost_answers.clear()
    end_workers(machine, order, [worker])
    machine.run(OBSERVED_S)
    check_listed_ends(machine)
