"""Draw what happens to the workers, the calls, the list and the owner."""

import random

from tests.fleet.machine import ORDER_DELAYS_S, FleetMachine
from tests.fleet.sim_worker import SimWorker

__all__ = ["Disturber"]

EXTRA_S = (0.0, 0.2, 1.0, 4.0, 10.0)
"""How much longer than it must a worker serves on."""
LAPSE_S = 4.5
"""After this silence an entry lapses, also while the log is down."""
BACK_S = 2.0
"""How soon lapsed entries are back once the log is."""
RENAMED_SHARE = 0.2
"""Share of workers that come up again under a new name when restarts are drawn."""
ENTRY_GAP_S = (0.2, 1.0, 3.0, 8.0)
"""How long the entry of a living worker may be missing."""


class Disturber:
    """Draw disturbances that overlap within a lease, and end them all.

    ``often`` is how many of a hundred steps bring one. With ``restart_chance``
    workers crash more often, and most of them restart under the same name.
    """

    def __init__(
        self,
        machine: FleetMachine,
        chance: random.Random,
        often: float,
        restart_chance: random.Random | None = None,
    ):
        self._machine = machine
        self._chance = chance
        self._often = often
        self._restart_chance = restart_chance
        self._listed_again_s: dict[str, float] = {}
        self._unlisted_s: dict[str, float] = {}
        self._born_s: dict[str, float] = {}
        self._down_since_s = float("inf")
        self._gone: set[str] = set()

    def step(self) -> None:
        """Bring about what is due, and perhaps something new."""
        self._notice_crashes()
        self._change_entries()
        self._begin_lives()
        if self._chance.random() * 100 < self._often:
            self._disturb()
            self._crash_to_restart()

    def end(self) -> None:
        """Bring nothing new; whoever leaves still ends, and others come up."""
        machine = self._machine
        self._often = 0.0
        machine.cut.clear()
        machine.order_delay_s.clear()
        machine.lose_answers = machine.slow_answer_share = machine.list_lag_s = 0.0
        machine.log_down = False
        self._unlisted_s = {}
        for worker in list(machine.world.workers.values()):
            worker.refusing_until_s = float("-inf")
            stays = worker.ends_s == float("inf") or worker.leaving
            worker.listed = stays and not worker.dead
        self._listed_again_s = {}
        machine.replace_owner()

    def remove_place(self, address: str, *, crashes: bool) -> None:
        """Have the worker at an address go, and none come up there again."""
        self._gone.add(address)
        worker = self._machine.world.find_at(address)
        if worker is None or worker.ends_s < float("inf"):
            return
        if crashes:
            self._crash(worker)
        else:
            self._leave(worker)

    def _disturb(self) -> None:
        machine, chance = self._machine, self._chance
        up = [w for w in machine.world.workers.values() if not w.dead]
        if not up:
            return
        worker = chance.choice(up)
        match chance.randrange(23):
            case 0 | 1:
                machine.replace_owner()
            case 2 | 3:
                machine.cut.add(worker.address)
            case 4 | 5 | 6:
                machine.cut.clear()
            case 19 | 20:
                machine.order_delay_s[worker.address] = chance.choice(
                    ORDER_DELAYS_S[1:]
                )
            case 21 | 22:
                machine.order_delay_s.clear()
            case 7 | 8:
                machine.lose_answers = chance.choice((0.0, 0.0, 0.1, 0.5))
            case 9:
                machine.slow_answer_share = chance.choice((0.0, 0.2, 0.8))
            case 10:
                self._switch_log()
            case 11:
                machine.list_lag_s = chance.choice((0.0, 0.3, 1.0, 3.0))
            case 12:
                worker.refusing_until_s = machine.now_s + chance.choice((1.0, 5.0))
                worker.refused_share = chance.choice((0.5, 1.0))
            case 13:
                self._unlist_for_a_while(worker)
            case 14 | 15 if worker.ends_s == float("inf"):
                self._leave(worker)
            case 16 if chance.random() < 0.3:
                self._crash(worker)
            case 17 | 18 if machine.book.entries and chance.random() < 0.5:
                machine.cancel(chance.choice(list(machine.book.entries)))

    def _switch_log(self) -> None:
        """Have the log go down or come back; entries may have lapsed meanwhile."""
        machine = self._machine
        machine.log_down = not machine.log_down
        if machine.log_down:
            self._down_since_s = machine.now_s
        elif machine.now_s > self._down_since_s + LAPSE_S:
            for worker in machine.world.workers.values():
                if worker.listed and self._chance.random() < 0.5:
                    worker.listed = False
                    back_s = machine.now_s + self._chance.uniform(0.1, BACK_S)
                    self._listed_again_s[worker.name] = back_s

    def _unlist_for_a_while(self, worker: SimWorker) -> None:
        """Have the entry of a living worker lapse and come back."""
        worker.listed = False
        gap_s = self._chance.choice(ENTRY_GAP_S)
        self._listed_again_s[worker.name] = self._machine.now_s + gap_s

    def _leave(self, worker: SimWorker) -> None:
        """Have a worker end soon; its entry may go before it does."""
        chance, now_s = self._chance, self._machine.now_s
        says = chance.random() < 0.7
        self._machine.world.leave(worker, now_s, chance.choice(EXTRA_S), says=says)
        if says and chance.random() < 0.5:
            goes_s = chance.uniform(now_s, worker.ends_s)
            self._unlisted_s[worker.name] = goes_s
            if chance.random() < 0.5:
                gap_s = chance.choice(ENTRY_GAP_S)
                self._listed_again_s[worker.name] = goes_s + gap_s

    def _crash(self, worker: SimWorker) -> None:
        """Have a worker end at once; its entry lapses later."""
        self._machine.world.kill(worker, self._machine.now_s)
        self._let_entry_lapse(worker)

    def _crash_to_restart(self) -> None:
        """Crash one or more workers at once, in half of the draws."""
        if self._restart_chance is None or self._restart_chance.random() < 0.5:
            return
        up = [w for w in self._machine.world.workers.values() if not w.dead]
        share = self._restart_chance.choice((0.0, 0.0, 0.3, 0.6))
        count = max(0, min(max(1, int(len(up) * share)), len(up) - 1))
        for worker in self._restart_chance.sample(up, count):
            self._crash(worker)

    def _notice_crashes(self) -> None:
        """Have the entries of workers that crashed under a task lapse later."""
        for worker in self._machine.world.workers.values():
            if worker.dead and worker.listed and worker.name not in self._unlisted_s:
                self._let_entry_lapse(worker)

    def _let_entry_lapse(self, worker: SimWorker) -> None:
        goes_s = self._machine.now_s + self._chance.choice((0.0, 2.0, 4.5))
        self._unlisted_s[worker.name] = goes_s

    def _change_entries(self) -> None:
        now_s, workers = self._machine.now_s, self._machine.world.workers
        for name in [n for n, at_s in self._unlisted_s.items() if at_s <= now_s]:
            del self._unlisted_s[name]
            workers[name].listed = False
        for name in [n for n, at_s in self._listed_again_s.items() if at_s <= now_s]:
            del self._listed_again_s[name]
            worker = workers[name]
            silent_leaver = worker.ends_s < float("inf") and not worker.leaving
            worker.listed = not worker.dead and not silent_leaver

    def _begin_lives(self) -> None:
        """Have new workers come up where others have ended, after a while."""
        world, now_s = self._machine.world, self._machine.now_s
        for worker in list(world.workers.values()):
            if not worker.dead or world.find_at(worker.address) is not None:
                continue
            if worker.address in self._gone:
                continue
            born_s = self._born_s.get(worker.address)
            if born_s is None or born_s < worker.dead_since_s:
                pause_s = self._chance.choice((0.1, 0.5, 3.0))
                self._born_s[worker.address] = worker.dead_since_s + pause_s
            elif born_s <= now_s:
                self._restart_or_replace(worker)

    def _restart_or_replace(self, former: SimWorker) -> None:
        machine, chance = self._machine, self._restart_chance
        if chance is None or chance.random() < RENAMED_SHARE:
            machine.world.begin_life(former)
            return
        # Cancels the pending lapse of the entry, which the restarted worker renews.
        for times in (self._unlisted_s, self._listed_again_s):
            times.pop(former.name, None)
        machine.world.restart(former, machine.now_s)
