"""Cordon and open data halls of a simulated fleet, and check what starts there."""

import random

from tests.fleet.checks import OWNER_SETTLE_S
from tests.fleet.machine import FleetMachine

__all__ = ["CordonCheck", "RandomCordons"]

CORDON_LIMIT_S = 3.0
"""Time from a cordon until nothing may start there; stricter than required."""
TOGGLE_PROBABILITY = 0.03
"""Probability per step that a hall is cordoned or opened; some 6 changes in 20 s."""


class RandomCordons:
    """Random cordons of halls, also of several or all at once."""

    def __init__(self, machine: FleetMachine, halls: list[str], seed: int):
        self._machine = machine
        self._halls = halls
        self._rng = random.Random(f"cordons {seed}")

    def step(self) -> None:
        """With ``TOGGLE_PROBABILITY``, cordon an open hall or open a cordoned one."""
        if self._rng.random() < TOGGLE_PROBABILITY:
            self._machine.cordoned ^= {self._rng.choice(self._halls)}

    def end(self) -> None:
        """Open all halls."""
        self._machine.cordoned = frozenset()


class CordonCheck:
    """A check, at each step, that nothing starts in halls that are cordoned.

    Starts within ``CORDON_LIMIT_S`` of a cordon do not count, nor those within
    ``OWNER_SETTLE_S`` of a take-over. The limit restarts while the log is down.
    """

    def __init__(self, machine: FleetMachine):
        self._machine = machine
        self._since_s: dict[str, float] = {}

    def look(self) -> None:
        """Raise ``AssertionError`` if a run started after the limit."""
        machine = self._machine
        self._update_cordons()
        for worker in machine.world.workers.values():
            since_s = self._since_s.get(worker.hall, float("inf"))
            for run in worker.runs.values():
                if run.began_s <= since_s + CORDON_LIMIT_S:
                    continue
                settled = run.began_s >= machine.term_began_s[run.term] + OWNER_SETTLE_S
                too_late = settled and not run.late
                assert not too_late, (
                    f"{run.task} started in cordoned hall {worker.hall}"
                )

    def _update_cordons(self) -> None:
        machine = self._machine
        for hall in list(self._since_s):
            if hall not in machine.cordoned:
                del self._since_s[hall]
        for hall in machine.cordoned:
            if hall not in self._since_s or machine.log_down:
                self._since_s[hall] = machine.now_s
