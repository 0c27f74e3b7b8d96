"""Check that a gang which crashes a worker at each start is ended.

Without a count of lost members such a gang is requeued and placed again without end.
The count must survive a change of owner.
"""

import pytest

from larkhoist.codes import Code
from larkhoist.log.objects import JobSpec
from larkhoist.log.state import JobState
from larkhoist.scheduling.policy import SchedulingPolicy
from tests.promises.hall_machine import HallMachine

JOB = JobSpec("bad", "c", 2, 8, payload="run_s=1000")
RESTART_DELAY_S = 1.0


def run_with_crashes(
    machine: HallMachine, seconds: float, crash_after_s: float, owner_every_s: float
):
    """Crash each worker that has run member 0 for ``crash_after_s``, and restart it.

    Another instance becomes the owner every ``owner_every_s``.
    """
    restart_at_s: dict[str, float] = {}
    owner_change_s = machine.now_s + owner_every_s
    end_s = machine.now_s + seconds
    while machine.now_s < end_s:
        machine.step()
        for name in [n for n, at_s in restart_at_s.items() if at_s <= machine.now_s]:
            machine.revive_worker(name)
            del restart_at_s[name]
        for event in machine.get_events():
            due = (
                event.event == "running" and machine.now_s >= event.at_s + crash_after_s
            )
            holder = find_worker(machine, event)
            if (
                due
                and event.member == 0
                and holder not in (None, *machine.dead_workers)
            ):
                machine.kill_worker(holder)
                restart_at_s[holder] = machine.now_s + RESTART_DELAY_S
        if machine.now_s >= owner_change_s:
            owner_change_s += owner_every_s
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
    run_with_crashes(machine, 300.0, 0.0, owner_every_s)
    entry = machine.state.jobs["bad"]
    assert entry.state is JobState.ENDED
    assert entry.code == Code.MEMBER_LOST
    starts = {e.attempt for e in machine.get_events() if e.event == "running"}
    assert len(starts) <= 6


def test_a_gang_that_loses_workers_long_after_its_starts_goes_on():
    machine = make_machine()
    machine.submit(JOB)
    run_with_crashes(machine, 900.0, 70.0, 1e9)
    assert machine.state.jobs["bad"].state is not JobState.ENDED
    starts = {e.attempt for e in machine.get_events() if e.event == "running"}
    assert len(starts) > 6
