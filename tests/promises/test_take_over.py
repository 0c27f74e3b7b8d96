"""Promise 2 on the simulated hall while a second owner takes over.

Guards against an owner that drops the worker reports received before its scheduler
exists. It gets all leases and reports in one round, so it treated a running gang as
lost: it placed a second attempt on the free half of the workers while the first one
ran, or ended the job as lost.
"""

import pytest

from larkhoist.log.objects import CustomerSpec, JobSpec
from larkhoist.log.state import JobState
from tests.checkers.gangs import check_gangs
from tests.promises.hall_machine import HallMachine

LONGEST_PARTIAL_S = 8.0


def make_gang(name: str, run_s: int, repeatable: bool) -> JobSpec:
    return JobSpec(
        name,
        "ann",
        members=2,
        accelerators=8,
        payload=f"run_s={run_s}",
        repeatable=repeatable,
    )


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_gang_runs_on_under_the_next_owner(repeatable):
    machine = HallMachine(4)
    machine.put_customer(CustomerSpec("ann"))
    machine.add_owner("first")
    machine.run(3)
    # The filler ends early and leaves the first half of the workers free.
    machine.submit(make_gang("filler", 5, repeatable))
    machine.run(2)
    machine.submit(make_gang("job", 60, repeatable))
    machine.run(6)
    machine.owners.clear()
    machine.add_owner("second")
    machine.run(20)
    events = machine.get_events()
    found = check_gangs(events, machine.sizes, LONGEST_PARTIAL_S, machine.now_s)
    assert found == []
    assert {event.attempt for event in events if event.job_id == "job"} == {1}
    assert machine.state.jobs["job"].state is not JobState.ENDED
