"""Estimate how long the tasks of a queue run."""

__all__ = ["QueueRuntimes"]

MIN_SAMPLES = 5
MIN_WEIGHT = 0.1


class QueueRuntimes:
    """A moving mean of run times by queue, in seconds.

    Preferred to declared times, which are often wrong, while the tasks of one queue
    take similar times.
    """

    def __init__(self):
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def note(self, queue: str, seconds: float) -> None:
        """Record the run time of a task that ran from start to end in one attempt."""
        count = self._counts.get(queue, 0) + 1
        weight = max(MIN_WEIGHT, 1 / count)
        mean = self._means.get(queue, seconds)
        self._means[queue] = mean + weight * (seconds - mean)
        self._counts[queue] = count

    def predict(self, queue: str, declared_ms: int) -> float:
        """Return the expected run time of a task, in seconds.

        The declared time is used until the queue has enough samples.
        """
        if self._counts.get(queue, 0) < MIN_SAMPLES:
            return declared_ms / 1000
        return self._means[queue]
