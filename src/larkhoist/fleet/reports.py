"""Apply the reports and answers of workers to the state."""

from larkhoist.codes import Code
from larkhoist.fleet.crashes import count_losses
from larkhoist.fleet.departure import update_from_report
from larkhoist.fleet.effects import SeenEnds, StopTask
from larkhoist.fleet.incarnation import IncarnationOrder
from larkhoist.fleet.proofs import (
    AbsentFromReport,
    EndListed,
    GangDone,
    NeverSent,
    Proof,
    StartRefused,
)
from larkhoist.fleet.restarts import begin_incarnation, release_lost_tasks
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import Phase, Task, TaskState
from larkhoist.fleet.task_speeds import learn_from_end, learn_from_percent
from larkhoist.fleet.worker import FleetWorker
from larkhoist.ports.task_worker import EndedTask, EndKind, RunningTask, WorkerReport

__all__ = [
    "handle_report",
    "handle_start_answer",
    "handle_stop_answer",
    "handle_worker_gone",
]

MAX_CHECKPOINT_BYTES = 12_000


def handle_report(
    state: FleetState,
    worker: FleetWorker,
    report: WorkerReport,
    asked_s: float,
    now_s: float,
    now_ms: int,
) -> None:
    """Process a worker's report that was requested at ``asked_s``."""
    present = {(task.task, task.attempt) for task in report.running}
    present |= {(ended.task, ended.attempt) for ended in report.ended}
    match worker.incarnation.compare(report.started_ms, asked_s):
        case IncarnationOrder.FORMER:
            return
        case IncarnationOrder.LATER:
            begin_incarnation(state, worker, report.started_ms, now_s, present)
    worker.incarnation.record_answer(report.started_ms, now_s)
    state.settle_as_cut_off(worker)
    worker.departure = update_from_report(worker.departure, report.clock_ms, asked_s)
    # Counted from now and not from the request, since former owners may have renewed
    # the lease in between.
    state.end_inherited_lease(worker, now_s)
    for ended in report.ended:
        if ended.number > worker.seen:
            worker.seen = ended.number
            _take_end(state, worker, ended, now_s, now_ms)
        elif state.find_task(ended.task, ended.attempt) is not None:
            _note_ignored_end(state, worker, ended)
    seen = SeenEnds(worker.incarnation.started_ms, worker.seen)
    state.round.seen[worker.name] = seen
    worker.strays = {}
    for running in report.running:
        _take_running(state, worker, running, now_s)
    if not report.complete:
        return
    lost = []
    for phase, task in state.list_tasks_on(worker):
        absent = (task.name, task.attempt) not in present
        if not (absent and task.is_on_worker and task.settled_s < asked_s):
            continue
        if worker.has_restarted_since(task.worker_started_ms):
            lost.append((phase, task))
            continue
        proof = AbsentFromReport(asked_s, task.settled_s)
        state.release(phase, task, proof, now_s)
    release_lost_tasks(state, worker, lost, now_s)


def handle_start_answer(
    state: FleetState,
    name: str,
    attempt: int,
    code: Code | None,
    may_have_started: bool,
    now_s: float,
    detail: str = "",
) -> None:
    """Process the answer to a start order; a code of None means that it succeeded.

    A refusal proves that the attempt doesn't run only if no earlier try of the order
    may still start it (``may_have_started``).
    """
    found = state.find_task(name, attempt)
    if found is None:
        return
    phase, task = found
    match code:
        case None:
            state.workers[task.worker].refused_pause_s = 0.0
            state.note_running(phase, task)
            task.settled_s = min(task.settled_s, now_s)
            if task.state is TaskState.STARTING:
                task.state = TaskState.RUNNING
                task.began_s = now_s
                task.saved_s = now_s
        case Code.WORKER_SILENT if task.state is TaskState.RUNNING:
            # A report has already shown that it runs.
            return
        case Code.WORKER_UNREACHABLE if not may_have_started:
            state.release(phase, task, NeverSent(), now_s)
        case Code.WORKER_SILENT | Code.FENCED:
            # The order may still be carried out, until a stop is answered or the lease
            # is over, without which no worker starts a task.
            _settle_at_lease_end(state, task, now_s)
            state.stop(phase, task, now_s)
        case _ if may_have_started:
            _settle_at_lease_end(state, task, now_s)
            state.note(
                "start-unsettled",
                task=name,
                attempt=attempt,
                worker=task.worker,
                reason=code.name,
            )
            state.stop(phase, task, now_s)
        case _:
            _pause_worker(state, state.workers[task.worker], code, now_s)
            state.release(phase, task, StartRefused(code, detail), now_s)


def _settle_at_lease_end(state: FleetState, task: Task, now_s: float) -> None:
    settled_s = now_s + state.policy.lapse_s
    task.settled_s = min(task.settled_s, settled_s)


def _pause_worker(
    state: FleetState, worker: FleetWorker, code: Code, now_s: float
) -> None:
    """Send no starts for a while to a worker that refused one.

    The pause doubles with each refusal in a row, up to a limit. Refusals during a pause
    don't extend it, since starts sent at the same time are refused together.
    """
    if now_s < worker.paused_until_s:
        return
    policy = state.policy
    match code:
        case Code.ATTEMPT_TOO_OLD:
            # The next attempt has a higher number and isn't refused for this.
            return
        case _:
            pause_s = max(policy.refused_pause_s, 2 * worker.refused_pause_s)
            pause_s = min(pause_s, policy.longest_refused_pause_s)
            worker.refused_pause_s = pause_s
    worker.paused_until_s = now_s + pause_s


def handle_stop_answer(
    state: FleetState, name: str, attempt: int, now_s: float
) -> None:
    """Process the answer to a stop order: the attempt can't begin any more."""
    found = state.find_task(name, attempt)
    if found is not None:
        found[1].settled_s = min(found[1].settled_s, now_s)


def handle_worker_gone(
    state: FleetState, worker: FleetWorker, proof: Proof, now_s: float
) -> None:
    """Release all tasks of a worker on which nothing runs, as ``proof`` shows."""
    tasks = state.list_tasks_on(worker)
    state.note(
        "worker-idle",
        worker=worker.name,
        reason=proof.NAME,
        tasks=len(tasks),
        heard_age_s=round(now_s - worker.heard_s, 3),
    )
    count_losses(tasks, worker, proof, now_s)
    state.index_losses(task for _, task in tasks)
    for phase, task in tasks:
        state.release(phase, task, proof, now_s)


def _note_ignored_end(state: FleetState, worker: FleetWorker, ended: EndedTask) -> None:
    """Log that the end of a current attempt was ignored because of its number."""
    state.note(
        "task-end-ignored",
        task=ended.task,
        attempt=ended.attempt,
        worker=worker.name,
        how=ended.kind.value,
        number=ended.number,
        seen=worker.seen,
    )


def _take_end(
    state: FleetState, worker: FleetWorker, ended: EndedTask, now_s: float, now_ms: int
) -> None:
    _note_begun(state, ended.task)
    found = state.find_task(ended.task, ended.attempt)
    if found is None and ended.kind is EndKind.DONE:
        found = state.find_waiting(ended.task, ended.attempt)
    state.note(
        "task-ended",
        task=ended.task,
        attempt=ended.attempt,
        worker=worker.name,
        how=ended.kind.value,
        current=found is not None,
    )
    if found is None:
        if ended.kind is EndKind.DONE:
            _take_superseded_done(state, ended, now_s)
        return
    phase, task = found
    task.has_begun = True
    match ended.kind:
        case EndKind.FAILED if task.done_earlier:
            state.release(phase, task, EndListed(ended.kind), now_s)
        case EndKind.DONE:
            _take_done(state, worker, phase, task, now_s)
        case EndKind.FAILED:
            _take_failed(state, worker, phase, task, ended, now_s, now_ms)
        case _:
            _store_last_checkpoint(state, phase, task, ended.checkpoint)
            state.release(phase, task, EndListed(ended.kind), now_s)


def _note_begun(state: FleetState, task: str) -> None:
    """Record that a job has begun, of which a worker names an attempt of a task."""
    found = state.find(task)
    if found is not None:
        state.note_begun(state.jobs[found[0].id.job_id])


def _take_superseded_done(state: FleetState, ended: EndedTask, now_s: float) -> None:
    """Take a task as done whose earlier attempt has ended so.

    The lease of its worker was over before the end could be heard, so the task was
    started again. That start is dropped if it hasn't been sent, else stopped.
    """
    found = state.find_superseded(ended.task, ended.attempt)
    if found is None or found[0].spec.long_running:
        return
    phase, task = found
    state.note(
        "task-done-earlier",
        task=ended.task,
        attempt=ended.attempt,
        current_attempt=task.attempt,
        state=task.state.value,
    )
    proof = EndListed(EndKind.DONE)
    for member in phase.tasks if phase.spec.gang else [task]:
        if member.state is not TaskState.DONE:
            state.finish_by_earlier(phase, member, proof, now_s)


def _take_done(state, worker, phase: Phase, task: Task, now_s: float) -> None:
    state.quarantine.note_success(worker.name)
    if task.state is TaskState.RUNNING:
        learn_from_end(state, worker, phase, task, now_s)
    if task.state is TaskState.RUNNING and not task.checkpoint:
        queue = state.jobs[phase.id.job_id].job.queue
        took_s = now_s - task.began_s
        # Expected times are those on workers of factor 1.
        members = phase.tasks if phase.spec.gang else [task]
        state.runtimes.note(queue, took_s / state.get_pace_factor(members))
    if phase.spec.long_running:
        state.release(phase, task, EndListed(EndKind.DONE), now_s)
        return
    # One member that is done means that the whole gang is done.
    for member in phase.tasks if phase.spec.gang else [task]:
        proof = EndListed(EndKind.DONE) if member is task else GangDone(task.name)
        state.finish(phase, member, proof, now_s)
    phase.closing = False


def _take_failed(state, worker, phase, task, ended, now_s, now_ms) -> None:
    job = state.jobs[phase.id.job_id]
    members = phase.tasks if phase.spec.gang else [task]
    counted = phase.spec.gang and phase.failed_attempt == task.attempt
    if not counted:
        phase.failed_attempt = task.attempt
        for member in members:
            member.failures += 1
    task.failed_on.add(worker.name)
    listed = sum(other.listed for other in state.workers.values())
    if state.quarantine.note_failure(worker.name, phase.id.job_id, listed, now_s):
        state.note("worker-quarantined", worker=worker.name)
    _store_last_checkpoint(state, phase, task, ended.checkpoint)
    state.release(phase, task, EndListed(ended.kind), now_s)
    if phase.spec.long_running or task.failures < job.job.terms.max_attempts:
        return
    state.end_job(job, Code.JOB_FAILED, now_s, now_ms)


def _take_running(state, worker, running: RunningTask, now_s: float) -> None:
    _note_begun(state, running.task)
    found = state.find_task(running.task, running.attempt)
    if found is None or found[1].worker != worker.name:
        if not _has_just_ended(state, running):
            _stop_stray(state, worker, running, now_s)
        return
    phase, task = found
    if task.state is TaskState.STARTING:
        task.state = TaskState.RUNNING
    # It has begun, and a worker never begins the same attempt twice.
    state.note_running(phase, task)
    task.worker_started_ms = worker.incarnation.started_ms
    task.settled_s = min(task.settled_s, now_s)
    learn_from_percent(state, worker, phase, task, running.percent, now_s)
    is_new = running.checkpoint not in ("", task.checkpoint)
    if is_new and _fits_record(running.checkpoint):
        task.saved_s = now_s
        _store_checkpoint(phase, task, running.checkpoint)


def _has_just_ended(state: FleetState, running: RunningTask) -> bool:
    """Tell whether another worker has listed the gang's end before this report.

    The members of such a gang end by themselves. Stopping them cost 171 calls, beside
    4,340 other stops, in one day of 270 workers.
    """
    found = state.find(running.task)
    if found is None:
        return False
    phase, task = found
    return phase.spec.gang and phase.is_done and task.attempt == running.attempt


def _stop_stray(state, worker, running: RunningTask, now_s: float) -> None:
    state.note(
        "stray-stopped",
        task=running.task,
        attempt=running.attempt,
        worker=worker.name,
    )
    # The lease of the stray is unknown, but can't exceed the longest one.
    state.extend_lease(worker, now_s, state.policy.lease_s)
    worker.strays[running.task] = running.attempt
    worker.strays_stopped_s = now_s
    state.round.stops.append(StopTask(worker.name, running.task, running.attempt))


def _fits_record(checkpoint: str) -> bool:
    """Tell whether a checkpoint can be kept; else a task resumes from the former one.

    The progress of 16 tasks must fit into one record of the log.
    """
    return len(checkpoint.encode()) <= MAX_CHECKPOINT_BYTES


def _store_last_checkpoint(
    state: FleetState, phase: Phase, task: Task, checkpoint: str
) -> None:
    """Store the checkpoint of an attempt that has ended; log one that can't be kept."""
    if not _fits_record(checkpoint):
        size = len(checkpoint.encode())
        state.note("checkpoint-too-long", task=task.name, bytes=size)
    _store_checkpoint(phase, task, checkpoint)


def _store_checkpoint(phase: Phase, task: Task, checkpoint: str) -> None:
    if not checkpoint or not _fits_record(checkpoint):
        return
    # A checkpoint is valid for the whole gang, and all members must use the same one.
    for member in phase.tasks if phase.spec.gang else [task]:
        member.checkpoint = checkpoint
