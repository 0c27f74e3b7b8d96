"""Find work that stands still in a replayed day, from its workers and jobs alone."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from lab.arrivals import Arrival
from lab.progress import IdleStep, StallDetector, WorkerRoom
from lab.workers import SimulatedWorkers
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from larkhoist.ports.task_worker import EndedTask, EndKind

__all__ = ["DayWatch"]


class DayWatch:
    """Tracks open jobs and the tasks that workers have reported as done.

    A job is open from its arrival until it is cancelled, given up or shown as ended.
    """

    def __init__(self, workers: SimulatedWorkers, watched: Iterable[StallDetector]):
        self._workers = workers
        self._watched = list(watched)
        self._open: dict[str, Arrival] = {}
        self._done: dict[str, set[str]] = defaultdict(set)

    def open_job(self, arrival: Arrival) -> None:
        """Add a job that has arrived."""
        self._open[arrival.job.job_id] = arrival

    def close_job(self, job_id: str) -> None:
        """Remove a job that needs no more work."""
        self._open.pop(job_id, None)

    def note_end(self, ended: EndedTask) -> None:
        """Record a task that a worker reported as ended."""
        if ended.kind is EndKind.DONE:
            phase, _, _ = ended.task.rpartition(".")
            self._done[phase].add(ended.task)

    def look(self, listed: Iterable[ListedTaskWorker], now_s: float) -> None:
        """Check all jobs that have nothing running against the room of healthy workers.

        Jobs with a run that began since the last call count as running, even if it has
        ended.
        """
        running = self._workers.pop_started_jobs()
        used: dict[str, Resources] = defaultdict(Resources)
        for job_id, worker, need in self._workers.iter_runs():
            running.add(job_id)
            used[worker] += need
        rooms = [
            WorkerRoom(one.name, one.rack, one.labels, one.capacity, used[one.name])
            for one in listed
            if self._workers.is_healthy(one.name, now_s)
        ]
        idle = list(self._iter_idle(running))
        for stills in self._watched:
            stills.look(now_s, rooms, idle)

    def _iter_idle(self, running: set[str]) -> Iterator[IdleStep]:
        for job_id, arrival in self._open.items():
            if job_id in running:
                continue
            steps = arrival.job.steps
            is_done = [self._is_done(job_id, step) for step in range(len(steps))]
            for step, spec in enumerate(steps):
                if is_done[step] or not all(is_done[one] for one in spec.depends_on):
                    continue
                yield IdleStep(job_id, step, spec)

    def _is_done(self, job_id: str, step: int) -> bool:
        spec = self._open[job_id].job.steps[step]
        needed = 1 if spec.gang else spec.count
        return len(self._get_done(job_id, step)) >= needed

    def _get_done(self, job_id: str, step: int) -> set[str]:
        """Return the tasks of a step that are done."""
        return self._done.get(f"{job_id}.0.{step}", set())
