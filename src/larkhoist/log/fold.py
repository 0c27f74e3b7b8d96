"""Fold the platform's log into the replicated state.

The fold depends only on the records and their offsets, so that every instance reaches
the same state. The first claim on a key or job wins. The confirmation of a plan is
refused if an object that it changes has changed since the plan was made.
"""

from larkhoist.codes import Code
from larkhoist.log.records import (
    Batch,
    Change,
    ClaimMade,
    ClaimReleased,
    CustomerPut,
    CustomerRemoved,
    JobCancelled,
    JobClaimed,
    JobFinished,
    JobPlaced,
    JobPut,
    JobRequeued,
    PlanConfirmed,
    PlanProposed,
    Record,
    ServicePut,
    ServiceRemoved,
)
from larkhoist.log.state import (
    ClaimEntry,
    ClusterState,
    ConfirmOutcome,
    JobEntry,
    JobState,
    ObjectVersion,
    WriterEntry,
)

__all__ = [
    "count_early_loss",
    "CLAIM_WINDOW_MS",
    "LogGapError",
    "fold_batch",
    "get_claim",
    "get_object_key",
    "make_claim_key",
]

CLAIM_WINDOW_MS = 30 * 60 * 1000
"""How long a claimed key is kept, in milliseconds of log time."""

ENDED_JOB_WINDOW_MS = 24 * 60 * 60 * 1000
PLAN_WINDOW_MS = 24 * 60 * 60 * 1000
WRITER_WINDOW_MS = 24 * 60 * 60 * 1000
EXPIRY_INTERVAL_MS = 1000


class LogGapError(Exception):
    """The next record to fold is missing."""


def make_claim_key(service: str, key: str) -> str:
    """Return the key of a claim in ``ClusterState.claims``."""
    return f"{service}\n{key}"


def get_claim(state: ClusterState, service: str, key: str) -> ClaimEntry | None:
    """Return the claim on a key, or None if it is unclaimed."""
    return state.claims.get(make_claim_key(service, key))


def get_object_key(change: Change) -> str:
    """Return the key of a changed object in ``ClusterState.versions``."""
    match change:
        case CustomerPut(spec):
            return f"customer/{spec.name}"
        case CustomerRemoved(name):
            return f"customer/{name}"
        case ServicePut(spec):
            return f"service/{spec.name}"
        case ServiceRemoved(name):
            return f"service/{name}"
        case JobPut(spec):
            return f"job/{spec.job_id}"


def fold_batch(state: ClusterState, offset: int, batch: Batch) -> None:
    """Fold the batch at ``offset`` into ``state``, once.

    An offset that was folded before, or a batch that was appended twice, changes
    nothing. Raises ``LogGapError`` if an earlier offset has not been folded.
    """
    if offset < state.next_offset:
        return
    if offset > state.next_offset:
        raise LogGapError(f"expected offset {state.next_offset}, got {offset}")
    state.next_offset = offset + 1
    writer = state.writers.get(batch.writer)
    if writer is not None and batch.sequence <= writer.sequence:
        return
    state.writers[batch.writer] = WriterEntry(batch.sequence, batch.at_ms)
    previous_ms = state.log_ms
    state.log_ms = max(state.log_ms, batch.at_ms)
    for record in batch.records:
        _fold_record(state, record)
    if previous_ms // EXPIRY_INTERVAL_MS != state.log_ms // EXPIRY_INTERVAL_MS:
        _expire(state)


def _fold_record(state: ClusterState, record: Record) -> None:
    match record:
        case PlanProposed(plan_id):
            if plan_id not in state.plans:
                state.plans[plan_id] = record
                state.plan_times[plan_id] = state.log_ms
        case PlanConfirmed(plan_id):
            _fold_confirm(state, plan_id)
        case ClaimMade(service, key, claim_id, instance, digest):
            name = make_claim_key(service, key)
            if name not in state.claims:
                entry = ClaimEntry(claim_id, instance, digest, state.log_ms)
                state.claims[name] = entry
        case ClaimReleased(service, key, claim_id):
            name = make_claim_key(service, key)
            held = state.claims.get(name)
            if held is not None and held.claim_id == claim_id:
                del state.claims[name]
        case JobPut():
            _apply_change(state, record)
        case _:
            _fold_job_record(state, record)


def _fold_confirm(state: ClusterState, plan_id: str) -> None:
    if plan_id in state.confirms:
        return
    plan = state.plans.get(plan_id)
    if plan is None:
        outcome = ConfirmOutcome(Code.PLAN_UNKNOWN, state.revision, state.log_ms)
        state.confirms[plan_id] = outcome
        return
    winner = _find_conflict(state, plan)
    if winner is not None:
        state.confirms[plan_id] = ConfirmOutcome(
            Code.STALE_BASE, state.revision, state.log_ms, winner.plan_id
        )
        return
    state.revision += 1
    state.revision_at_ms = state.log_ms
    for change in plan.changes:
        _apply_change(state, change)
        version = ObjectVersion(state.revision, plan_id)
        state.versions[get_object_key(change)] = version
        if isinstance(change, CustomerPut | CustomerRemoved):
            state.customers_version = version
    outcome = ConfirmOutcome(Code.ACCEPTED, state.revision, state.log_ms)
    state.confirms[plan_id] = outcome


def _find_conflict(state: ClusterState, plan: PlanProposed) -> ObjectVersion | None:
    for change in plan.changes:
        version = state.versions.get(get_object_key(change))
        if version is not None and version.revision > plan.base_revision:
            return version
        # Guarantees were checked together with those of all other customers, so a
        # change to any customer since the base revision invalidates that check.
        if isinstance(change, CustomerPut):
            newest = state.customers_version
            if newest is not None and newest.revision > plan.base_revision:
                return newest
    return None


def _apply_change(state: ClusterState, change: Change) -> None:
    match change:
        case CustomerPut(spec):
            state.customers[spec.name] = spec
        case CustomerRemoved(name):
            state.customers.pop(name, None)
        case ServicePut(spec):
            state.services[spec.name] = spec
        case ServiceRemoved(name):
            state.services.pop(name, None)
        case JobPut(spec):
            if spec.job_id not in state.jobs:
                state.jobs[spec.job_id] = JobEntry(spec, state.log_ms)


def _fold_job_record(state: ClusterState, record: Record) -> None:
    job = state.jobs.get(record.job_id)
    if job is None or job.state is JobState.ENDED:
        return
    match record:
        case JobCancelled():
            job.cancelled = True
            if job.state is JobState.PENDING:
                _end_job(state, job, Code.JOB_CANCELLED)
        case JobClaimed(_, hall):
            if job.state is JobState.PENDING:
                job.state = JobState.CLAIMED
                job.hall = hall
        case JobPlaced(_, hall, attempt, workers):
            if _is_current(job, hall, attempt):
                job.state = JobState.PLACED
                job.workers = workers
        case JobRequeued(_, hall, attempt, code, lost_early):
            if _is_current(job, hall, attempt):
                job.failures += code == Code.JOB_FAILED
                job.early_losses = count_early_loss(job.early_losses, lost_early)
                job.state = JobState.CLAIMED
                job.attempt = attempt + 1
                job.code = code
                job.workers = ()
        case JobFinished(_, hall, attempt, code):
            if _is_current(job, hall, attempt):
                _end_job(state, job, code)


def count_early_loss(before: int, lost_early: bool | None) -> int:
    """Return the number of early losses in a row, given the one ``before``.

    ``lost_early`` tells whether the latest attempt lost a member soon after its start;
    None leaves the count as it is.
    """
    match lost_early:
        case None:
            return before
        case True:
            return before + 1
        case _:
            return 0


def _is_current(job: JobEntry, hall: str, attempt: int) -> bool:
    return job.hall == hall and job.attempt == attempt


def _end_job(state: ClusterState, job: JobEntry, code: int) -> None:
    job.state = JobState.ENDED
    job.code = code
    job.ended_ms = state.log_ms


def _expire(state: ClusterState) -> None:
    _drop_expired(state.claims, state.log_ms - CLAIM_WINDOW_MS, lambda c: c.at_ms)
    _drop_expired(state.plan_times, state.log_ms - PLAN_WINDOW_MS, lambda at: at)
    _drop_expired(state.confirms, state.log_ms - PLAN_WINDOW_MS, lambda c: c.at_ms)
    for plan_id in list(state.plans):
        if plan_id in state.plan_times:
            break
        del state.plans[plan_id]
    limit_ms = state.log_ms - ENDED_JOB_WINDOW_MS
    for job_id, job in list(state.jobs.items()):
        if job.state is JobState.ENDED and job.ended_ms < limit_ms:
            del state.jobs[job_id]
        elif job.submitted_ms >= limit_ms:
            break
    for writer, entry in list(state.writers.items()):
        if entry.at_ms < state.log_ms - WRITER_WINDOW_MS:
            del state.writers[writer]


def _drop_expired(entries, limit_ms, get_ms) -> None:
    # Entries are in log order, oldest first.
    expired = []
    for name, entry in entries.items():
        if get_ms(entry) >= limit_ms:
            break
        expired.append(name)
    for name in expired:
        del entries[name]
