"""End a gang whose start ends one of its workers, also over a change of owner.

A gang that lost a member with its worker went back into the queue without a count, and
so was placed anew for ever. Failures were counted, but by the owner alone: each change
of owner began with none.
"""

import pytest

from larkhoist.codes import Code
from larkhoist.log.objects import JobSpec
from larkhoist.log.state import JobState
from larkhoist.scheduling.policy import SchedulingPolicy
from tests.promises.hall_machine import HallMachine

JOB = JobSpec("bad", "c", 2, 8, payload="run_s=1000")
BACK_S = 1.0


def play(machine: HallMachine, seconds: float, runs_s: float, owner_every_s: float):
    """Crash each worker that has run a member for ``runs_s``, and bring it back."""
    back_s: dict[str, float] = {}
    owner_s = machine.now_s + owner_every_s
    end_s = machine.now_s + seconds
    while machine.now_s < end_s:
        machine.step()
        for name in [n for n, at_s in back_s.items() if at_s <= machine.now_s]:
            machine.revive_worker(name)
            del back_s[name]
        for event in machine.get_events():
            due = event.event == "running" and machine.now_s >= event.at_s + runs_s
            holder = find_worker(machine, event)
            if due and event.member == 0 and holder not in (None, *machine.dead):
                machine.kill_worker(holder)
                back_s[holder] = machine.now_s + BACK_S
        if machine.now_s >= owner_s:
            owner_s += owner_every_s
            machine.owners.append(machine.owners.pop(0))


def find_worker(machine: HallMachine, event) -> str | None:
    for name, worker in machine.workers.items():
        for task in worker.tasks.values():
            command = task.command
            same = (command.job_id, command.attempt, command.member)
            if same == (event.job_id, event.attempt, event.member):
                return name
    return None


def make_machine() -> HallMachine:
    machine = HallMachine(4, policy=SchedulingPolicy())
    machine.add_owner("one")
    machine.add_owner("two")
    machine.run(5.0)
    return machine


@pytest.mark.parametrize("owner_every_s", [1e9, 37.0], ids=["one-owner", "owners"])
def test_a_gang_that_crashes_a_worker_at_each_start_is_ended(owner_every_s):
    machine = make_machine()
    machine.submit(JOB)
    play(machine, 300.0, 0.0, owner_every_s)
    entry = machine.state.jobs["bad"]
    assert entry.state is JobState.ENDED
    assert entry.code == Code.MEMBER_LOST
    starts = {e.attempt for e in machine.get_events() if e.event == "running"}
    assert len(starts) <= 6


def test_a_gang_that_loses_workers_long_after_its_starts_goes_on():
    machine = make_machine()
    machine.submit(JOB)
    play(machine, 900.0, 70.0, 1e9)
    assert machine.state.jobs["bad"].state is not JobState.ENDED
    starts = {e.attempt for e in machine.get_events() if e.event == "running"}
    assert len(starts) > 6
