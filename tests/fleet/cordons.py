"""Cordon and open the data halls of a simulated fleet, and check what starts there."""

import random

from tests.fleet.checks import OWNER_SETTLE_S
from tests.fleet.machine import FleetMachine

__all__ = ["CordonCheck", "CordonDrawer"]

CORDON_S = 3.0
"""How soon nothing may start in a cordoned hall any more; less than the users allow."""
OFTEN = 0.03
"""How often in a step a hall is cordoned or opened; some 6 changes in 20 s."""


class CordonDrawer:
    """Draw which halls are cordoned, also several or all at once."""

    def __init__(self, machine: FleetMachine, halls: list[str], seed: int):
        self._machine = machine
        self._halls = halls
        self._chance = random.Random(f"cordons {seed}")

    def step(self) -> None:
        """Perhaps cordon a hall that is open, or open one that is cordoned."""
        if self._chance.random() < OFTEN:
            self._machine.cordoned ^= {self._chance.choice(self._halls)}

    def end(self) -> None:
        """Open all halls."""
        self._machine.cordoned = frozenset()


class CordonCheck:
    """Look, step by step, at what begins in halls that have been cordoned for long.

    Only an owner in touch has to know of a cordon: one that has read the log, and been
    up, for a while.
    """

    def __init__(self, machine: FleetMachine):
        self._machine = machine
        self._since_s: dict[str, float] = {}

    def look(self) -> None:
        """Raise ``AssertionError`` where something has begun too late."""
        machine = self._machine
        self._note_cordons()
        for worker in machine.world.workers.values():
            since_s = self._since_s.get(worker.hall, float("inf"))
            for run in worker.runs.values():
                if run.began_s <= since_s + CORDON_S:
                    continue
                in_touch = (
                    run.began_s >= machine.term_began_s[run.term] + OWNER_SETTLE_S
                )
                begun = in_touch and not run.late
                assert not begun, f"{run.task} began in {worker.hall}, cordoned"

    def _note_cordons(self) -> None:
        machine = self._machine
        for hall in list(self._since_s):
            if hall not in machine.cordoned:
                del self._since_s[hall]
        for hall in machine.cordoned:
            if hall not in self._since_s or machine.log_down:
                self._since_s[hall] = machine.now_s
