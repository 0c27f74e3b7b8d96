"""Check the pauses of an owner, which starts it sends, and the gauges of speeds."""

from types import SimpleNamespace

import pytest

from larkhoist.control.fleet_owner import MAX_PAUSE_S, OWNER_GAUGES, FleetOwner
from larkhoist.control.roster_keeper import RosterKeeper
from larkhoist.daemon.clock import read_monotonic_s
from larkhoist.fleet.effects import StartTask
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.scheduler import create_fleet_scheduler
from larkhoist.fleet.speeds import SpeedFactor
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from larkhoist.ports.keyed_log import StoredRecord


@pytest.mark.parametrize(("paused", "pause_s"), [(False, 0.0), (True, MAX_PAUSE_S)])
def test_what_is_overdue_does_not_keep_an_owner_busy_whose_decisions_pause(
    paused, pause_s
):
    overdue_s = read_monotonic_s() - 1.0
    scheduler = SimpleNamespace(get_next_due_s=lambda now_s: overdue_s)
    owner = SimpleNamespace(_decisions_paused=paused, scheduler=scheduler)
    assert FleetOwner._get_pause_s(owner) == pause_s


@pytest.mark.parametrize(
    ("leaving", "listed_ms", "ordered_ms", "wanted"),
    [
        (False, 1000, 1000, True),
        (True, 1000, 1000, False),
        (True, 1000, 0, False),
        (True, 0, 1000, False),
        (True, 1000, 2000, True),
    ],
)
def test_a_start_is_not_sent_once_an_announcement_was_read(
    leaving, listed_ms, ordered_ms, wanted
):
    # Guards against starts on a worker that leaves, before the next step applies it.
    entry = ListedTaskWorker(
        "w0", "s", "a", "h", "r", frozenset(), Resources(), leaving, None, 0, listed_ms
    )
    roster = RosterKeeper(lambda record: entry)
    roster.apply(StoredRecord(1, "w0", b"{}"))
    scheduler = SimpleNamespace(is_wanted=lambda task, attempt: True)
    owner = SimpleNamespace(_roster=roster, scheduler=scheduler)
    order = StartTask("w0", "a.0.0.0", 1, "", "", ordered_ms)
    assert FleetOwner._is_wanted(owner, order) is wanted


def test_the_gauges_show_how_much_the_speeds_of_workers_differ():
    scheduler = create_fleet_scheduler(FleetPolicy(), 0.0)
    owner = SimpleNamespace(scheduler=scheduler)
    unknown = FleetOwner._measure_speeds(owner)
    assert set(unknown) <= set(OWNER_GAUGES)
    assert unknown["fleet_uneven"] == 0.0
    assert unknown["fleet_speed_low"] == unknown["fleet_speed_high"] == 1.0
    factors = {f"w{n}": SpeedFactor((0.6, 1.0, 1.6)[n % 3], 9) for n in range(60)}
    scheduler.state.speeds.restore(factors)
    known = FleetOwner._measure_speeds(owner)
    assert known["fleet_uneven"] == 1.0
    low, high = known["fleet_speed_low"], known["fleet_speed_high"]
    # Percentiles are resolved to 2 %, and the scale follows the mean of the workers.
    assert high / low == pytest.approx(1.6 / 0.6, rel=0.02)
    assert low == pytest.approx(0.6, rel=0.03)
    assert high == pytest.approx(1.6, rel=0.03)
