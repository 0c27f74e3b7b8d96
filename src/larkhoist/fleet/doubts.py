"""Tell when silent workers make a whole data hall doubtful.

A hall that is cut off falls silent worker by worker, as calls to each run out of
time. Work that is sent there meanwhile is stuck until leases lapse.
"""

__all__ = ["HallDoubts"]

SILENT_WORKERS = 3
"""So many at nearly the same time are rarely a coincidence; a guess."""
WINDOW_S = 2.0
"""What counts as the same time: two time-outs of a call with a wait."""


class HallDoubts:
    """Remember since when halls are doubtful; times are steady seconds."""

    def __init__(self):
        self._silent: dict[str, dict[str, float]] = {}
        self._since_s: dict[str, float] = {}

    def note_silent(self, hall: str, worker: str, asked_s: float) -> bool:
        """Take a call at ``asked_s`` without an answer.

        Returns whether the hall has just become doubtful.
        """
        recent = {
            name: at_s
            for name, at_s in self._silent.get(hall, {}).items()
            if at_s > asked_s - WINDOW_S
        }
        recent[worker] = asked_s
        self._silent[hall] = recent
        since_s = self._since_s.get(hall, float("-inf"))
        if len(recent) < SILENT_WORKERS or asked_s <= since_s + WINDOW_S:
            return False
        self._since_s[hall] = asked_s
        return True

    def covers(self, hall: str, heard_s: float) -> bool:
        """Tell whether a worker whose last answer is of ``heard_s`` is in doubt."""
        return heard_s < self._since_s.get(hall, float("-inf"))
