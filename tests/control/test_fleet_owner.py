"""Check how long an owner pauses between two steps."""

from types import SimpleNamespace

import pytest

from larkhoist.control.fleet_owner import MAX_PAUSE_S, FleetOwner
from larkhoist.daemon.clock import read_monotonic_s


@pytest.mark.parametrize(("paused", "pause_s"), [(False, 0.0), (True, MAX_PAUSE_S)])
def test_what_is_overdue_does_not_keep_an_owner_busy_whose_decisions_pause(
    paused, pause_s
):
    overdue_s = read_monotonic_s() - 1.0
    scheduler = SimpleNamespace(get_next_due_s=lambda now_s: overdue_s)
    owner = SimpleNamespace(_decisions_paused=paused, scheduler=scheduler)
    assert FleetOwner._get_pause_s(owner) == pause_s
