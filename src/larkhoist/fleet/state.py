"""Hold workers, jobs and tasks, and apply the state transitions of tasks.

Every transition updates the used room of the workers and marks the progress that must
be appended to the log. Placement and report handling change tasks only through these
transitions.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from larkhoist.codes import Code
from larkhoist.fleet.crashes import (
    is_given_up,
    must_wait,
    note_start,
    set_overdue,
    settle_as_crash,
    settle_as_cut_off,
)
from larkhoist.fleet.doubts import HallDoubts
from larkhoist.fleet.effects import EndedJob, Note, Round, StartTask, StopTask
from larkhoist.fleet.handed_on_waits import find_wait_start_ms
from larkhoist.fleet.headroom import UrgentDemand
from larkhoist.fleet.lost_workers import LostWorkerIndex, UnsettledLoss
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.proofs import (
    AbsentFromReport,
    EndListed,
    NeverSent,
    Proof,
    StartRefused,
    WorkerRestarted,
    describe_proof,
)
from larkhoist.fleet.reservations import Reservations
from larkhoist.fleet.runtimes import QueueRuntimes
from larkhoist.fleet.speeds import WorkerSpeeds
from larkhoist.fleet.task import (
    ActiveJob,
    Phase,
    Task,
    TaskState,
    create_phase,
    restore_loss,
)
from larkhoist.fleet.worker import FleetWorker
from larkhoist.jobs.records import (
    BlockProgress,
    DoneRuns,
    JobBegun,
    JobOutcome,
    PhaseId,
    PhaseProgress,
    ProgressPart,
    get_block_number,
    may_use_blocks,
    shows_run,
)
from larkhoist.jobs.registry import StagedJobEntry
from larkhoist.scheduling.quarantine import Quarantine

__all__ = ["FleetState"]

MAX_CLOCK_SKEW_MS = 200
"""The largest usual difference between the wall clocks of two instances."""
MAX_OPEN_TASKS = 2_000
"""How many tasks of one job's open runs are held, unless one run alone has more. A task
takes some 1.6 kB."""
MIN_FOLDED_RUNS = 64
"""How many runs are replaced by one record at a time."""
FOLD_AFTER_S = 10.0
"""How long the tasks of a run that is done are held. Until then, reports that were sent
before its end may name them."""


@dataclass(slots=True)
class _ChangedPhase:
    """A phase whose progress must be appended, and the numbers of its changed blocks.

    ``blocks`` is empty if the phase is too narrow for blocks.
    """

    phase: Phase
    blocks: set[int] = field(default_factory=set)

    def is_in_blocks(self, *, prefers_blocks: bool) -> bool:
        """Tell whether the phase is written in blocks.

        It is in any case if it can't be written as a whole.
        """
        return bool(self.blocks) and (prefers_blocks or self.phase.exceeds_record)

    def make_records(
        self, now_s: float, now_ms: int, *, prefers_blocks: bool
    ) -> list[PhaseProgress | BlockProgress]:
        """Return the records to append; both times are the current time."""
        phase = self.phase
        if not self.is_in_blocks(prefers_blocks=prefers_blocks):
            return [phase.make_progress(now_s, now_ms)]
        phase.blocks |= self.blocks
        return [
            phase.make_block_progress(number, now_s, now_ms)
            for number in sorted(self.blocks)
        ]


class FleetState:
    """Hold the state of the scheduler of staged jobs.

    ``suspects`` names the tasks that are blamed for a worker's crash and not done.
    ``over_by_proof`` counts the attempts that are over, by the name of the proof.
    """

    def __init__(self, policy: FleetPolicy):
        self.policy = policy
        self.workers: dict[str, FleetWorker] = {}
        self.jobs: dict[str, ActiveJob] = {}
        self.runtimes = QueueRuntimes()
        self.speeds = WorkerSpeeds(policy.uneven_ratio)
        self.quarantine = Quarantine()
        self.doubts = HallDoubts()
        self.urgent_demand = UrgentDemand()
        self.reservations = Reservations()
        self.lost_workers = LostWorkerIndex()
        self.cordoned_halls: frozenset[str] = frozenset()
        self.round = Round()
        self.changed = True
        self.over_by_proof: Counter[str] = Counter()
        self.suspects: set[str] = set()
        self._tasks: dict[str, tuple[Phase, Task]] = {}
        self._dirty_phases: dict[int, _ChangedPhase] = {}

    # Jobs.

    def add_job(self, entry: StagedJobEntry, now_s: float, now_ms: int) -> ActiveJob:
        """Add a job from the log; tasks that may run count as running."""
        job = entry.job
        submitted_s = now_s + (job.submitted_ms - now_ms) / 1000
        active = ActiveJob(job, submitted_s, added_s=now_s, added_ms=now_ms)
        active.ended = entry.outcome is not None
        active.begun = entry.begun
        active.done_runs = entry.done_runs
        for run in sorted({phase.run for phase in entry.phases}):
            if run < job.run_count:
                self._open_run(active, run, entry.phases, now_s, now_ms)
        for block in entry.blocks:
            phase = active.phases.get((block.phase.run, block.phase.step))
            if phase is not None:
                phase.blocks.add(block.number)
        self.open_due_runs(active, now_s, now_ms)
        self.jobs[job.job_id] = active
        shown = (shows_run(task) for p in entry.phases.values() for task in p.tasks)
        if active.done_runs.ranges or any(shown):
            # The progress may have reached the log without the record.
            self.note_begun(active)
        self.changed = True
        return active

    def open_due_runs(self, active: ActiveJob, now_s: float, now_ms: int) -> None:
        """Open the runs of a job that are due; both times are the current time.

        A run is held in memory only from then on. Where many are due, some wait until
        others are done.
        """
        job = active.job
        if active.ended or not active.has_unopened_runs:
            return
        if job.runs and active.get_due_s(active.next_run) > now_s:
            return
        tasks = sum(step.count for step in job.steps)
        left = max(1, MAX_OPEN_TASKS // tasks) - active.count_open_runs()
        while left > 0 and active.has_unopened_runs:
            run = active.next_run
            if job.runs and active.get_due_s(run) > now_s:
                return
            active.next_run += 1
            if (run, 0) not in active.phases and run not in active.done_runs:
                self._open_run(active, run, {}, now_s, now_ms)
                self.changed = True
                left -= 1

    def fold_done_runs(self, active: ActiveJob, now_s: float) -> None:
        """Keep of runs that are done for some time only the fact that they are.

        Otherwise, a job that runs for long would take more and more memory.
        """
        steps = len(active.job.steps)
        if active.ended or len(active.phases) < MIN_FOLDED_RUNS * steps:
            return
        done = active.list_done_runs(now_s - FOLD_AFTER_S)
        if len(done) < MIN_FOLDED_RUNS:
            return
        active.done_runs = active.done_runs.add(done)
        record = DoneRuns(active.job.job_id, active.done_runs)
        self.round.records.append(record)
        for run in done:
            for phase in active.get_phases(run):
                self._forget_tasks(phase)
                self.round.folded += phase.list_parts()
                del active.phases[(run, phase.id.step)]

    def _forget_tasks(self, phase: Phase) -> None:
        changed = self._dirty_phases.get(id(phase))
        prefers_blocks = self.policy.progress_blocks
        if changed and changed.is_in_blocks(prefers_blocks=prefers_blocks):
            # They are written with this round, and must be removed after it.
            phase.blocks |= changed.blocks
        for task in phase.tasks:
            self._tasks.pop(task.name, None)
            self.suspects.discard(task.name)
            self.lost_workers.discard(task.name, task.unsettled)

    def _open_run(
        self,
        active: ActiveJob,
        run: int,
        recorded: Mapping[PhaseId, PhaseProgress],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Create the phases of a run with their progress from the log, if any."""
        job = active.job
        for step in range(len(job.steps)):
            progress = recorded.get(PhaseId(job.job_id, run, step))
            phase = create_phase(job, run, step, active.get_due_s(run), progress)
            active.phases[(run, step)] = phase
            self._index_phase(phase, now_s)
            if progress is not None:
                self._restore_losses(phase, progress, now_s, now_ms)
            since_ms = find_wait_start_ms(job, phase.id, recorded)
            self._restore_wait_start(phase, since_ms, now_s, now_ms)

    def end_job(self, active: ActiveJob, code: Code, now_s: float, now_ms: int) -> None:
        """Record the outcome of a job and stop its remaining tasks."""
        if active.ended:
            return
        active.ended = True
        job = active.job
        outcome = JobOutcome(job.job_id, code, now_ms, job.customer, job.queue)
        self.round.records.append(outcome)
        self.note("job-ended", job=job.job_id, result=code.name.lower())
        for phase in active.phases.values():
            self.release_plan(phase)
            for task in phase.tasks:
                self.stop(phase, task, now_s)
        self.changed = True

    def forget_job(self, active: ActiveJob) -> None:
        """Drop an ended job none of whose tasks may run any more."""
        job_id = active.job.job_id
        parts: list[ProgressPart] = []
        for phase in active.phases.values():
            self._forget_tasks(phase)
            parts += phase.list_parts()
        if active.done_runs.ranges:
            parts.append(DoneRuns(job_id, active.done_runs))
        del self.jobs[job_id]
        self.round.ended.append(EndedJob(job_id, tuple(parts)))

    @property
    def task_count(self) -> int:
        """Return how many tasks are held."""
        return len(self._tasks)

    def iter_phases(self) -> Iterator[tuple[ActiveJob, Phase]]:
        """Yield every phase with its job."""
        for active in self.jobs.values():
            for phase in active.phases.values():
                yield active, phase

    def find_task(self, name: str, attempt: int) -> tuple[Phase, Task] | None:
        """Return the task if ``attempt`` is its current one and may run."""
        found = self._tasks.get(name)
        if found is None or found[1].attempt != attempt or not found[1].is_on_worker:
            return None
        return found

    def find(self, name: str) -> tuple[Phase, Task] | None:
        """Return a task, whatever its state."""
        return self._tasks.get(name)

    def find_waiting(self, name: str, attempt: int) -> tuple[Phase, Task] | None:
        """Return the task if ``attempt`` is its last one and the task waits again.

        The attempt was released, but a late report that it is done is still valid.
        """
        found = self._tasks.get(name)
        if found is None or not 0 < attempt == found[1].attempt:
            return None
        return found if found[1].state is TaskState.WAITING else None

    def find_superseded(self, name: str, attempt: int) -> tuple[Phase, Task] | None:
        """Return the task if ``attempt`` is an earlier one and the task isn't done."""
        found = self._tasks.get(name)
        if found is None or not 0 < attempt < found[1].attempt:
            return None
        return None if found[1].state is TaskState.DONE else found

    def list_tasks_on(self, worker: FleetWorker) -> list[tuple[Phase, Task]]:
        """Return the tasks that may run on a worker."""
        return [self._tasks[name] for name in sorted(worker.tasks)]

    def list_stopping_on(self, worker: FleetWorker) -> list[Task]:
        """Return the tasks on a worker that were ordered to stop."""
        tasks = [self._tasks[name][1] for name in worker.tasks]
        stopping = [task for task in tasks if task.state is TaskState.STOPPING]
        return sorted(stopping, key=lambda task: task.name)

    def list_suspect_workers(self) -> set[str]:
        """Return the workers on which suspects may run."""
        tasks = [self._tasks[name][1] for name in self.suspects]
        return {task.worker for task in tasks if task.is_on_worker}

    def is_cordoned(self, worker: FleetWorker) -> bool:
        """Tell whether a worker's data hall is cordoned and gets no new work."""
        return worker.hall in self.cordoned_halls

    def is_in_service(self, worker: FleetWorker) -> bool:
        """Tell whether a worker's room counts for waiting tasks."""
        return worker.listed and not self.is_cordoned(worker)

    def is_usable(self, worker: FleetWorker, now_s: float) -> bool:
        """Tell whether new tasks may go to a worker."""
        return (
            worker.is_usable(now_s)
            and not self.is_cordoned(worker)
            and not self.quarantine.holds(worker.name, now_s)
            and not self.doubts.is_in_doubt(worker.hall, worker.heard_s)
        )

    def may_probe(self, worker: FleetWorker, after_s: float, now_s: float) -> bool:
        """Tell whether a worker may get a task that tests if it still fails.

        Only its quarantine may exclude it, and its last failure must be older than
        ``after_s`` seconds.
        """
        return (
            worker.is_usable(now_s)
            and not self.is_cordoned(worker)
            and self.quarantine.has_been_failure_free(worker.name, after_s, now_s)
            and not self.doubts.is_in_doubt(worker.hall, worker.heard_s)
        )

    # Transitions of tasks.

    def assign(self, phase: Phase, places: dict[int, str], now_s: float) -> None:
        """Order tasks of a phase to start; members of a gang share the attempt."""
        active = self.jobs[phase.id.job_id]
        chosen = [phase.tasks[index] for index in places]
        if not phase.is_starting:
            phase.previous_unserved_since_s = phase.unserved_since_s
        last_attempt = max(task.attempt for task in chosen)
        for task in chosen:
            task.attempt = (last_attempt if phase.spec.gang else task.attempt) + 1
            task.state = TaskState.STARTING
            task.began_s = now_s
            task.saved_s = now_s
            task.settled_s = float("inf")
            task.seen_running = False
            task.seen_before = False
            task.is_timed = not task.checkpoint
            note_start(task)
            self._place_task(phase, task, places[task.index])
            worker = self.workers[task.worker]
            task.worker_started_ms = worker.incarnation.started_ms
            self.extend_lease(worker, now_s, self.policy.lease_s)
            self.round.starts.append(
                StartTask(
                    task.worker,
                    task.name,
                    task.attempt,
                    active.job.payload,
                    task.checkpoint,
                    task.worker_started_ms,
                )
            )
        self._restart_wait(phase, now_s)
        self.mark_dirty(phase, chosen)
        self.note(
            "start-decided",
            job=phase.id.job_id,
            run=phase.id.run,
            step=phase.id.step,
            attempt=chosen[0].attempt,
            tasks=len(chosen),
            places=_format_places(chosen),
            waited_s=round(now_s - phase.waiting_since_s, 3),
            firm=active.firm,
            **self._describe_factor(chosen),
        )

    def get_pace_factor(self, tasks: list[Task]) -> float:
        """Return the factor of the slowest worker of tasks, 1 while speeds are even."""
        if not self.speeds.is_uneven:
            return 1.0
        return max(self.speeds.get_factor(task.worker) for task in tasks)

    def _describe_factor(self, tasks: list[Task]) -> dict[str, float]:
        if not self.speeds.is_uneven:
            return {}
        return {"factor": round(self.get_pace_factor(tasks), 3)}

    def stop(self, phase: Phase, task: Task, now_s: float) -> None:
        """Order a task that may run to stop."""
        if task.state not in (TaskState.STARTING, TaskState.RUNNING):
            return
        task.state = TaskState.STOPPING
        self.send_stop(task, now_s)

    def send_stop(self, task: Task, now_s: float) -> None:
        """Send, or send again, the order to stop."""
        task.stop_sent_s = now_s
        self.round.stops.append(StopTask(task.worker, task.name, task.attempt))

    def send_stray_stops(self, worker: FleetWorker, now_s: float) -> None:
        """Send, or send again, the orders to stop the strays on a worker."""
        worker.strays_stopped_s = now_s
        for name, attempt in worker.strays.items():
            self.round.stops.append(StopTask(worker.name, name, attempt))

    def stop_done_tasks(self, active: ActiveJob, now_s: float) -> None:
        """Stop attempts whose task an earlier attempt had done under a former owner."""
        for phase in active.phases.values():
            for task in phase.tasks:
                if task.done_earlier:
                    self.stop(phase, task, now_s)

    def close_broken_gangs(self, active: ActiveJob, now_s: float) -> None:
        """Stop the rest of gangs that lost a member under a former owner."""
        for phase in active.phases.values():
            off = [t for t in phase.tasks if not t.is_on_worker]
            if phase.spec.gang and off and not phase.is_off_workers:
                self._stop_gang(phase, now_s)

    def finish_by_earlier(
        self, phase: Phase, task: Task, proof: Proof, now_s: float
    ) -> None:
        """Note that an earlier attempt of a task has ended as done.

        The current attempt is stopped. The task is done once that one is over.
        """
        if not task.is_on_worker:
            self.finish(phase, task, proof, now_s)
            return
        task.done_earlier = True
        self.stop(phase, task, now_s)
        self.mark_dirty(phase, [task])

    def finish(self, phase: Phase, task: Task, proof: Proof, now_s: float) -> None:
        """Note that a task has ended as done."""
        if task.is_on_worker:
            self._note_attempt_over(task, proof, now_s)
        self._free_room(phase, task)
        task.has_begun = True
        task.done_earlier = False
        task.state = TaskState.DONE
        task.checkpoint = ""
        self.suspects.discard(task.name)
        self._start_dependent_waits(phase, now_s)
        self.mark_dirty(phase, [task])

    def release(self, phase: Phase, task: Task, proof: Proof, now_s: float) -> None:
        """Set a task to waiting, since ``proof`` shows that its attempt is over."""
        if not task.is_on_worker:
            return
        if task.done_earlier:
            self.finish(phase, task, proof, now_s)
            return
        self._note_attempt_over(task, proof, now_s)
        self._free_room(phase, task)
        match proof:
            case StartRefused() | NeverSent():
                phase.unserved_since_s = phase.previous_unserved_since_s
            case AbsentFromReport() | WorkerRestarted() if not task.seen_running:
                # The task never started: its owner was gone, or the order was lost.
                phase.unserved_since_s = phase.previous_unserved_since_s
            case _ if not phase.has_waiting:
                phase.unserved_since_s = now_s
        task.state = TaskState.WAITING
        self._update_suspect(phase, task)
        phase.waiting_since_s = now_s
        self.mark_dirty(phase, [task])
        if phase.spec.gang:
            self._stop_gang(phase, now_s)

    def index_losses(self, tasks: Iterable[Task]) -> None:
        """Index the unsettled losses of tasks by worker."""
        for task in tasks:
            for loss in task.unsettled:
                self.lost_workers.add(task.name, loss)

    def settle_as_crashes(self, name: str, started_ms: int, address: str) -> None:
        """Count the crashes that are shown by a new incarnation at an address."""
        for lost in self.lost_workers.list_crashed(name, started_ms, address):
            for phase, task in self._list_open(self.lost_workers.take(lost)):
                crashes = task.lost.crashes
                settle_as_crash(task, lost)
                if task.lost.crashes > crashes:
                    self._note_settled("crash-shown-late", task, by=name)
                self._update_suspect(phase, task)
                self.mark_dirty(phase, [task])

    def settle_as_cut_off(self, worker: FleetWorker) -> None:
        """Take back the losses of a worker that has proved that it did not crash."""
        started_ms = worker.incarnation.started_ms
        for lost in self.lost_workers.list_cut_off(worker.name, started_ms):
            for phase, task in self._list_open(self.lost_workers.take(lost)):
                settle_as_cut_off(task, lost)
                self._note_settled("loss-taken-back", task, by=worker.name)
                self._update_suspect(phase, task)
                self.mark_dirty(phase, [task])

    def settle_overdue(self, now_s: float) -> None:
        """Count losses as crashes for which no proof has come in time."""
        for phase, task in self._list_open(self.lost_workers.take_overdue(now_s)):
            set_overdue(task, now_s)
            self._update_suspect(phase, task)

    def _list_open(self, names: Iterable[str]) -> list[tuple[Phase, Task]]:
        """Return those of the named tasks that are known and not done."""
        found = (self._tasks.get(name) for name in sorted(names))
        return [
            each
            for each in found
            if each is not None and each[1].state is not TaskState.DONE
        ]

    def _note_settled(self, event: str, task: Task, by: str) -> None:
        self.note(
            event,
            task=task.name,
            attempt=task.attempt,
            by=by,
            crashes=task.lost.crashes,
            blamed=task.lost.blamed,
            unsure=task.lost.unsure,
        )

    def note_running(self, phase: Phase, task: Task) -> None:
        """Note that the worker has confirmed that an attempt runs."""
        if task.lost.count and not task.was_seen:
            # Otherwise the next owner could not tell whether the start was carried out.
            self._add_changed(phase, [task])
        task.note_running()
        self.note_begun(self.jobs[phase.id.job_id])

    def note_begun(self, active: ActiveJob) -> None:
        """Record that a worker has begun a task of a job, unless it has ended.

        An order to start is no proof: it may be refused, never sent or not answered.
        """
        if active.begun or active.ended:
            return
        active.begun = True
        self.round.records.append(JobBegun(active.job.job_id))

    def release_plan(self, phase: Phase) -> None:
        """Release the room that is held for a phase."""
        for name in phase.plan.values():
            worker = self.workers.get(name)
            if worker is not None:
                worker.release_hold(phase.need)
        phase.plan = {}

    def hold_plan(self, phase: Phase, places: dict[int, str]) -> None:
        """Hold room for a phase while other tasks stop."""
        phase.plan = places
        for name in places.values():
            self.workers[name].hold(phase.need)

    def mark_dirty(self, phase: Phase, tasks: Iterable[Task]) -> None:
        """Mark the progress of tasks of a phase to be appended to the log."""
        self._add_changed(phase, tasks)
        self.changed = True

    def note(self, event: str, **fields: object) -> None:
        """Add a log event to the round."""
        self.round.notes.append(Note(event, fields))

    def take_round(self, now_s: float, now_ms: int) -> Round:
        """Return the collected effects and begin an empty round."""
        taken, self.round = self.round, Round()
        progress = [
            record
            for changed in self._dirty_phases.values()
            for record in changed.make_records(
                now_s, now_ms, prefers_blocks=self.policy.progress_blocks
            )
        ]
        taken.records = [*progress, *taken.records]
        self._dirty_phases = {}
        return taken

    # Helpers.

    def _add_changed(self, phase: Phase, tasks: Iterable[Task]) -> None:
        """Note which blocks of a phase to append if it is written in blocks."""
        changed = self._dirty_phases.setdefault(id(phase), _ChangedPhase(phase))
        if may_use_blocks(len(phase.tasks)):
            changed.blocks |= {get_block_number(task.index) for task in tasks}

    def _note_attempt_over(self, task: Task, proof: Proof, now_s: float) -> None:
        """Log the proof that an attempt is over; a listed end is logged elsewhere."""
        name = proof.NAME
        self.over_by_proof[name] += 1
        match proof:
            case EndListed():
                return
            case StartRefused():
                # Logged as another event: many refusals at once would hide the others.
                event = "start-refused"
            case _:
                event = "attempt-over"
        self.note(
            event,
            task=task.name,
            attempt=task.attempt,
            worker=task.worker,
            state=task.state.value,
            seen_running=task.seen_running,
            saved=bool(task.checkpoint),
            ran_s=round(now_s - task.began_s, 3),
            failures=task.failures,
            crashes=task.lost.crashes,
            blamed=task.lost.blamed,
            unsure=task.lost.unsure,
            unseen=task.lost.unseen,
            proof=name,
            **describe_proof(proof, now_s),
        )

    def _update_suspect(self, phase: Phase, task: Task) -> None:
        """Update whether a task is a suspect; give up its job after too many losses."""
        if task.lost.blamed:
            self.suspects.add(task.name)
        else:
            self.suspects.discard(task.name)
        active = self.jobs[phase.id.job_id]
        if active.ended or active.given_up:
            return
        self._update_held(task)
        if not is_given_up(task):
            return
        active.given_up = True
        self.note(
            "job-given-up",
            job=phase.id.job_id,
            task=task.name,
            attempt=task.attempt,
            crashes=task.lost.crashes,
            blamed=task.lost.blamed,
            unsure=task.lost.unsure,
            unseen=task.lost.unseen,
            late_starts=task.lost.late_starts,
        )

    def _update_held(self, task: Task) -> None:
        """Update whether a task waits until its unsettled losses are settled."""
        is_held = must_wait(task)
        if is_held == task.is_held:
            return
        task.is_held = is_held
        self.changed = True
        self.note(
            "task-held" if is_held else "task-no-longer-held",
            task=task.name,
            attempt=task.attempt,
            crashes=task.lost.crashes,
            unsure=task.lost.unsure,
            unsettled=len(task.unsettled),
            late_starts=task.lost.late_starts,
        )

    def _index_phase(self, phase: Phase, now_s: float) -> None:
        for task in phase.tasks:
            self._tasks[task.name] = (phase, task)
            if task.lost.blamed and task.state is not TaskState.DONE:
                self.suspects.add(task.name)
            if task.is_on_worker:
                task.began_s = now_s
                task.saved_s = now_s
                task.settled_s = now_s
                self._place_task(phase, task, task.worker)
        phase.known_since_s = now_s

    def _restore_wait_start(
        self, phase: Phase, since_ms: int | None, now_s: float, now_ms: int
    ) -> None:
        """Continue the wait that a former owner recorded; ``since_ms`` may be unknown.

        If each owner restarted the wait, no phase would appear to wait for long while
        owners change often.
        """
        since_s = now_s - self.policy.longest_wait_s
        # A start in the future comes from a clock that is ahead, and is ignored.
        if since_ms is not None and since_ms <= now_ms + MAX_CLOCK_SKEW_MS:
            since_s = min(now_s, now_s - (now_ms - since_ms) / 1000)
        phase.unserved_since_s = phase.previous_unserved_since_s = max(
            phase.due_s, since_s
        )

    def _restore_losses(
        self, phase: Phase, progress: PhaseProgress, now_s: float, now_ms: int
    ) -> None:
        """Restore the unsettled losses that a former owner recorded."""
        losses: dict[int, list[UnsettledLoss]] = {}
        for recorded in progress.losses or ():
            loss = restore_loss(recorded, now_s, now_ms)
            losses.setdefault(recorded.index, []).append(loss)
        tasks = [task for task in phase.tasks if task.index in losses]
        for task in tasks:
            task.unsettled = tuple(losses[task.index])
            set_overdue(task, now_s)
            task.is_held = must_wait(task)
        self.index_losses(tasks)

    def _place_task(self, phase: Phase, task: Task, name: str) -> None:
        worker = self.workers[name]
        task.worker = name
        task.address = worker.address
        worker.tasks.add(task.name)
        worker.use(phase.need)

    def extend_lease(self, worker: FleetWorker, now_s: float, lease_s: float) -> None:
        """Extend a lease for a call that will be sent now or has been decided."""
        end_s = now_s + self.policy.get_lapse_s(lease_s)
        worker.granted_end_s = max(worker.granted_end_s, end_s)
        worker.lease_end_s = max(worker.lease_end_s, end_s)

    def end_inherited_lease(self, worker: FleetWorker, now_s: float) -> None:
        """Limit the lease of a worker that has answered a report request of this owner.

        The worker has stored this owner's fencing token, so no former owner can renew
        the lease any more.
        """
        inherited_s = now_s + self.policy.lapse_s
        end_s = max(worker.granted_end_s, min(worker.lease_end_s, inherited_s))
        worker.lease_end_s = end_s

    def _free_room(self, phase: Phase, task: Task) -> None:
        worker = self.workers.get(task.worker)
        if task.is_on_worker and worker is not None:
            worker.tasks.discard(task.name)
            worker.release_room(phase.need)
        self.changed = True

    def _restart_wait(self, phase: Phase, now_s: float) -> None:
        """Restart a phase's wait, but not that of long-running tasks still waiting."""
        if not (phase.spec.long_running and phase.has_waiting):
            phase.unserved_since_s = now_s

    def _start_dependent_waits(self, phase: Phase, now_s: float) -> None:
        """Set the wait start of phases that depend on a phase that is done."""
        if not phase.is_done:
            return
        # A job may have many runs, and nothing more is compared in this one.
        phase.size = None
        phase.unserved_since_s = now_s
        for other in self.jobs[phase.id.job_id].get_phases(phase.id.run):
            if phase.id.step in other.spec.depends_on:
                other.unserved_since_s = max(now_s, other.due_s)

    def _stop_gang(self, phase: Phase, now_s: float) -> None:
        phase.closing = True
        for task in phase.tasks:
            self.stop(phase, task, now_s)
        if phase.is_off_workers:
            phase.closing = False


def _format_places(tasks: list[Task]) -> str:
    """Format tasks as INDEX.ATTEMPT@WORKER, separated by commas."""
    return ",".join(f"{task.index}.{task.attempt}@{task.worker}" for task in tasks)
