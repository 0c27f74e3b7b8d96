"""Inject random faults into workers, calls, the list of workers, the log and owners."""

import random

from tests.fleet.machine import ORDER_DELAYS_S, FleetMachine
from tests.fleet.sim_worker import SimWorker

__all__ = ["FaultInjector"]

LEAVE_EXTRAS_S = (0.0, 0.2, 1.0, 4.0, 10.0)
"""Times for which a worker may serve beyond its minimum notice."""
ENTRY_LAPSE_S = 4.5
"""Time without renewal after which an entry lapses, also while the log is down."""
RELIST_LIMIT_S = 2.0
"""Maximum time until lapsed entries are back after the log has recovered."""
RENAMED_SHARE = 0.2
"""Share of dead workers that come back under a new name, with ``restart_rng``."""
ENTRY_GAPS_S = (0.2, 1.0, 3.0, 8.0)
"""Times for which the entry of a live worker may be missing."""


class FaultInjector:
    """A random source of faults that may overlap within a lease.

    ``fault_percent`` is the percentage of steps that inject a fault. With
    ``restart_rng`` workers crash more often, and most of them restart under the same
    name.
    """

    def __init__(
        self,
        machine: FleetMachine,
        rng: random.Random,
        fault_percent: float,
        restart_rng: random.Random | None = None,
    ):
        self._machine = machine
        self._rng = rng
        self._fault_percent = fault_percent
        self._restart_rng = restart_rng
        self._listed_again_s: dict[str, float] = {}
        self._unlisted_s: dict[str, float] = {}
        self._restart_s: dict[str, float] = {}
        self._log_down_since_s = float("inf")
        self._removed_addresses: set[str] = set()

    def step(self) -> None:
        """Apply the changes that are due, and perhaps inject a new fault."""
        self._expire_crashed_entries()
        self._change_entries()
        self._revive_addresses()
        if self._rng.random() * 100 < self._fault_percent:
            self._inject_fault()
            self._crash_several()

    def end(self) -> None:
        """Stop injecting faults; leaving workers end, dead ones are replaced."""
        machine = self._machine
        self._fault_percent = 0.0
        machine.cut.clear()
        machine.order_delay_s.clear()
        machine.lost_answer_share = machine.slow_answer_share = machine.list_lag_s = 0.0
        machine.log_down = False
        self._unlisted_s = {}
        for worker in list(machine.world.workers.values()):
            worker.refusing_until_s = float("-inf")
            stays = worker.ends_s == float("inf") or worker.leaving
            worker.listed = stays and not worker.dead
        self._listed_again_s = {}
        machine.replace_owner()

    def remove_address(self, address: str, *, crashes: bool) -> None:
        """Have the worker at an address leave or crash, with no successor there."""
        self._removed_addresses.add(address)
        worker = self._machine.world.find_at(address)
        if worker is None or worker.ends_s < float("inf"):
            return
        if crashes:
            self._crash(worker)
        else:
            self._leave(worker)

    def _inject_fault(self) -> None:
        machine, rng = self._machine, self._rng
        up = [w for w in machine.world.workers.values() if not w.dead]
        if not up:
            return
        worker = rng.choice(up)
        match rng.randrange(23):
            case 0 | 1:
                machine.replace_owner()
            case 2 | 3:
                machine.cut.add(worker.address)
            case 4 | 5 | 6:
                machine.cut.clear()
            case 19 | 20:
                machine.order_delay_s[worker.address] = rng.choice(ORDER_DELAYS_S[1:])
            case 21 | 22:
                machine.order_delay_s.clear()
            case 7 | 8:
                machine.lost_answer_share = rng.choice((0.0, 0.0, 0.1, 0.5))
            case 9:
                machine.slow_answer_share = rng.choice((0.0, 0.2, 0.8))
            case 10:
                self._toggle_log()
            case 11:
                machine.list_lag_s = rng.choice((0.0, 0.3, 1.0, 3.0))
            case 12:
                worker.refusing_until_s = machine.now_s + rng.choice((1.0, 5.0))
                worker.refused_share = rng.choice((0.5, 1.0))
            case 13:
                self._unlist_temporarily(worker)
            case 14 | 15 if worker.ends_s == float("inf"):
                self._leave(worker)
            case 16 if rng.random() < 0.3:
                self._crash(worker)
            case 17 | 18 if machine.registry.entries and rng.random() < 0.5:
                machine.cancel(rng.choice(list(machine.registry.entries)))

    def _toggle_log(self) -> None:
        """Stop or restore the log; entries may have lapsed by the time it is back."""
        machine = self._machine
        machine.log_down = not machine.log_down
        if machine.log_down:
            self._log_down_since_s = machine.now_s
        elif machine.now_s > self._log_down_since_s + ENTRY_LAPSE_S:
            for worker in machine.world.workers.values():
                if worker.listed and self._rng.random() < 0.5:
                    worker.listed = False
                    back_s = machine.now_s + self._rng.uniform(0.1, RELIST_LIMIT_S)
                    self._listed_again_s[worker.name] = back_s

    def _unlist_temporarily(self, worker: SimWorker) -> None:
        """Have the entry of a live worker lapse and come back."""
        worker.listed = False
        gap_s = self._rng.choice(ENTRY_GAPS_S)
        self._listed_again_s[worker.name] = self._machine.now_s + gap_s

    def _leave(self, worker: SimWorker) -> None:
        """Have a worker leave; its entry may disappear before the worker ends."""
        rng, now_s = self._rng, self._machine.now_s
        announced = rng.random() < 0.7
        self._machine.world.leave(
            worker, now_s, rng.choice(LEAVE_EXTRAS_S), announced=announced
        )
        if announced and rng.random() < 0.5:
            unlisted_s = rng.uniform(now_s, worker.ends_s)
            self._unlisted_s[worker.name] = unlisted_s
            if rng.random() < 0.5:
                gap_s = rng.choice(ENTRY_GAPS_S)
                self._listed_again_s[worker.name] = unlisted_s + gap_s

    def _crash(self, worker: SimWorker) -> None:
        """End a worker at once; its entry lapses later."""
        self._machine.world.kill(worker, self._machine.now_s)
        self._schedule_entry_lapse(worker)

    def _crash_several(self) -> None:
        """Crash one or more workers at once, in half of the calls."""
        if self._restart_rng is None or self._restart_rng.random() < 0.5:
            return
        up = [w for w in self._machine.world.workers.values() if not w.dead]
        share = self._restart_rng.choice((0.0, 0.0, 0.3, 0.6))
        count = max(0, min(max(1, int(len(up) * share)), len(up) - 1))
        for worker in self._restart_rng.sample(up, count):
            self._crash(worker)

    def _expire_crashed_entries(self) -> None:
        """Schedule the lapse of entries of workers that a task crashed."""
        for worker in self._machine.world.workers.values():
            if worker.dead and worker.listed and worker.name not in self._unlisted_s:
                self._schedule_entry_lapse(worker)

    def _schedule_entry_lapse(self, worker: SimWorker) -> None:
        unlisted_s = self._machine.now_s + self._rng.choice((0.0, 2.0, 4.5))
        self._unlisted_s[worker.name] = unlisted_s

    def _change_entries(self) -> None:
        now_s, workers = self._machine.now_s, self._machine.world.workers
        for name in [n for n, at_s in self._unlisted_s.items() if at_s <= now_s]:
            del self._unlisted_s[name]
            workers[name].listed = False
        for name in [n for n, at_s in self._listed_again_s.items() if at_s <= now_s]:
            del self._listed_again_s[name]
            worker = workers[name]
            leaves_unannounced = worker.ends_s < float("inf") and not worker.leaving
            worker.listed = not worker.dead and not leaves_unannounced

    def _revive_addresses(self) -> None:
        """Have workers come up at the addresses of dead ones, after a pause."""
        world, now_s = self._machine.world, self._machine.now_s
        for worker in list(world.workers.values()):
            if not worker.dead or world.find_at(worker.address) is not None:
                continue
            if worker.address in self._removed_addresses:
                continue
            restart_s = self._restart_s.get(worker.address)
            if restart_s is None or restart_s < worker.dead_since_s:
                pause_s = self._rng.choice((0.1, 0.5, 3.0))
                self._restart_s[worker.address] = worker.dead_since_s + pause_s
            elif restart_s <= now_s:
                self._restart_or_replace(worker)

    def _restart_or_replace(self, former: SimWorker) -> None:
        machine, rng = self._machine, self._restart_rng
        if rng is None or rng.random() < RENAMED_SHARE:
            machine.world.start_replacement(former)
            return
        # The restarted worker renews its entry, so a pending lapse is cancelled.
        for times in (self._unlisted_s, self._listed_again_s):
            times.pop(former.name, None)
        machine.world.restart(former, machine.now_s)
