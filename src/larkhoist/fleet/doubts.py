"""Detect data halls that may be cut off, by the number of silent workers.

In a hall that is cut off, the workers become silent one by one, as the calls to each of
them time out. Tasks that are started there meanwhile are stuck until the leases lapse.
"""

__all__ = ["HallDoubts"]

MIN_SILENT_WORKERS = 3
"""So many workers rarely become silent within ``WINDOW_S`` by coincidence."""
WINDOW_S = 2.0
"""The time of two calls that time out, with the wait between them."""


class HallDoubts:
    """Hold since when halls are in doubt; times are monotonic seconds."""

    def __init__(self):
        self._silent_at_s: dict[str, dict[str, float]] = {}
        self._doubtful_since_s: dict[str, float] = {}

    def note_silent(self, hall: str, worker: str, asked_s: float) -> bool:
        """Note that a call to a worker at ``asked_s`` got no answer.

        Returns whether this puts the hall in doubt.
        """
        recent = {
            name: at_s
            for name, at_s in self._silent_at_s.get(hall, {}).items()
            if at_s > asked_s - WINDOW_S
        }
        recent[worker] = asked_s
        self._silent_at_s[hall] = recent
        since_s = self._doubtful_since_s.get(hall, float("-inf"))
        if len(recent) < MIN_SILENT_WORKERS or asked_s <= since_s + WINDOW_S:
            return False
        self._doubtful_since_s[hall] = asked_s
        return True

    def is_in_doubt(self, hall: str, heard_s: float) -> bool:
        """Tell whether a worker's last answer is older than the doubt about its hall.

        ``heard_s`` is when the last call that it answered was made.
        """
        return heard_s < self._doubtful_since_s.get(hall, float("-inf"))
