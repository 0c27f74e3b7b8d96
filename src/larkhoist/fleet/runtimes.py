"""Learn how long the tasks of a queue run."""

__all__ = ["QueueRuntimes"]

LEAST_SAMPLES = 5
NEWEST_WEIGHT = 0.1


class QueueRuntimes:
    """Keep a moving mean of run times by queue, in seconds.

    Declared times are often far off; the tasks of one queue resemble each other.
    """

    def __init__(self):
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def note(self, queue: str, seconds: float) -> None:
        """Take the run time of a task that was done without a break."""
        count = self._counts.get(queue, 0) + 1
        weight = max(NEWEST_WEIGHT, 1 / count)
        mean = self._means.get(queue, seconds)
        self._means[queue] = mean + weight * (seconds - mean)
        self._counts[queue] = count

    def predict(self, queue: str, declared_ms: int) -> float:
        """Return the expected run time of a task, in seconds."""
        if self._counts.get(queue, 0) < LEAST_SAMPLES:
            return declared_ms / 1000
        return self._means[queue]
