"""Serve the calls that submit, query and cancel jobs."""

import asyncio
import logging
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.control.catalog_keeper import CatalogKeeper
from larkhoist.control.stream_follower import StreamFollower
from larkhoist.control.stream_writer import StreamWriter
from larkhoist.daemon.logs import log_event
from larkhoist.jobs.access import find_refusal
from larkhoist.jobs.catalog import CustomerAccount, JobQueue
from larkhoist.jobs.records import JobAccepted, JobCancelRequested, encode_job_record
from larkhoist.jobs.registry import JobRegistry, JobState, StagedJobEntry
from larkhoist.jobs.spec import StagedJob
from larkhoist.problem import Problem

__all__ = ["JobOperationTimes", "JobOperations", "Permit"]

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class JobOperationTimes:
    """The times of the job calls, in seconds.

    ``config_age_s`` is the maximum age of the configuration that calls are checked
    against, ``state_age_s`` that of the job states. ``check_s`` is the time-out of a
    read of the log before a refusal. ``retry_after_s`` is when a refused caller should
    retry.
    """

    config_age_s: float = 1.8
    check_s: float = 0.6
    state_age_s: float = 4.0
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Permit:
    """The queue and customer of an admitted call, and the configuration version."""

    queue: JobQueue
    customer: CustomerAccount | None
    version: int

    @property
    def customer_name(self) -> str:
        """Return the customer's name, empty on a public queue."""
        return self.customer.name if self.customer is not None else ""


class JobOperations:
    """The job calls: answers from the registry, writes submissions and cancellations.

    Before something is refused as missing, the log is read to its end, since the state
    in memory may be old.
    """

    def __init__(
        self,
        catalog: CatalogKeeper,
        catalog_follower: StreamFollower,
        registry: JobRegistry,
        book_follower: StreamFollower,
        writer: StreamWriter,
        times: JobOperationTimes,
    ):
        self._catalog = catalog
        self._catalog_follower = catalog_follower
        self._registry = registry
        self._book_follower = book_follower
        self._writer = writer
        self._times = times

    async def admit(
        self, host: str, path: str, credential: str, now_s: float
    ) -> Result[Permit, Problem]:
        """Find the queue and customer of a call in a current configuration."""
        age_s = now_s - self._catalog_follower.synced_s
        current = age_s <= self._times.config_age_s
        if not current:
            current = await self._check(self._catalog_follower)
        if not current or self._catalog.catalog is None:
            return self._refuse(Code.NOT_READY, "the configuration may be old")
        found = self._find_permit(host, path, credential)
        match found:
            case Success(_):
                return found
        if not await self._check(self._catalog_follower):
            return self._refuse(Code.NOT_READY, "the refusal could not be checked")
        return self._find_permit(host, path, credential)

    async def submit(self, job: StagedJob, timeout_s: float) -> Problem | None:
        """Append a job to the log; None means that it is accepted."""
        entry = self._registry.get(job.job_id)
        if entry is not None:
            log_event(_logger, "job-known", job=job.job_id, state=entry.state.value)
            problem = self._check_access(entry, job.job_id, job.queue, job.customer)
            # A submission can't hide that its id is taken.
            return None if problem is None else Problem(Code.NOT_YOURS)
        began_s = asyncio.get_running_loop().time()
        record = encode_job_record(JobAccepted(job))
        problem = await self._writer.commit((record,), timeout_s)
        log_event(
            _logger,
            "job-accepted" if problem is None else "job-not-accepted",
            job=job.job_id,
            queue=job.queue,
            customer=job.customer,
            priority=job.terms.priority,
            steps=len(job.steps),
            tasks=sum(step.count for step in job.steps),
            took_s=round(asyncio.get_running_loop().time() - began_s, 3),
            reason=problem,
        )
        return problem

    async def get_state(
        self, job_id: str, permit: Permit, now_s: float
    ) -> Result[JobState, Problem]:
        """Return the state of a job."""
        match await self._find(job_id, permit, now_s):
            case Success(entry):
                return Success(entry.state)
            case failure:
                return failure

    async def cancel(
        self, job_id: str, permit: Permit, now_s: float, timeout_s: float
    ) -> Problem | None:
        """Cancel a job; None means that the log holds the cancellation."""
        match await self._find(job_id, permit, now_s):
            case Failure(problem):
                return problem
            case Success(entry):
                if entry.outcome is not None or entry.cancelled:
                    return None
        record = encode_job_record(JobCancelRequested(job_id))
        problem = await self._writer.commit((record,), timeout_s)
        log_event(_logger, "cancel", job=job_id, reason=problem)
        return problem

    def count_waiting(self, permit: Permit, now_s: float) -> Result[int, Problem]:
        """Return how many jobs of a queue have not started."""
        if now_s - self._book_follower.synced_s > self._times.state_age_s:
            return self._refuse(Code.NOT_READY, "the state may be old")
        return Success(self._registry.count_waiting(permit.queue.name))

    def _find_permit(self, host: str, path: str, credential: str):
        catalog = self._catalog.catalog
        queue = catalog.find_queue(host, path)
        if queue is None:
            return self._refuse(Code.NOT_FOUND, f"version {catalog.version}")
        customer = catalog.find_customer(credential)
        if customer is None and not queue.public:
            return self._refuse(Code.CREDENTIAL_UNKNOWN, f"version {catalog.version}")
        return Success(Permit(queue, customer, catalog.version))

    async def _find(self, job_id: str, permit: Permit, now_s: float):
        entry = self._registry.get(job_id)
        if entry is None or entry.outcome is None:
            # Without an outcome the state may have changed, and an unknown job may have
            # been added.
            checked = await self._check(self._book_follower)
            entry = self._registry.get(job_id)
            age_s = now_s - self._book_follower.synced_s
            if not checked and (entry is None or age_s > self._times.state_age_s):
                return self._refuse(Code.NOT_READY, "the state may be old")
        if entry is None:
            return self._refuse(Code.JOB_UNKNOWN, job_id)
        queue, customer = permit.queue.name, permit.customer_name
        problem = self._check_access(entry, job_id, queue, customer)
        return Success(entry) if problem is None else Failure(problem)

    async def _check(self, follower: StreamFollower) -> bool:
        """Read a stream to its end for a call; return False if the log can't be read.

        Calls don't wait for a log that did not answer the last read: the follower
        retries, and the caller can use another instance meanwhile.
        """
        return follower.is_connected and await follower.catch_up(self._times.check_s)

    def _check_access(
        self, entry: StagedJobEntry, job_id: str, queue: str, customer: str
    ) -> Problem | None:
        code = find_refusal(entry, queue, customer)
        if code is None:
            return None
        log_event(
            _logger,
            "refused",
            job=job_id,
            reason="NO_ACCESS",
            answer=code.name,
            queue=queue,
            customer=customer,
        )
        return Problem(code, detail=job_id if code is Code.JOB_UNKNOWN else "")

    def _refuse(self, code: Code, detail: str):
        retry_after_s = None
        if code is Code.NOT_READY:
            retry_after_s = self._times.retry_after_s
        now_s = asyncio.get_running_loop().time()
        log_event(
            _logger,
            "refused",
            reason=code.name,
            detail=detail,
            config_age_s=round(now_s - self._catalog_follower.synced_s, 3),
            state_age_s=round(now_s - self._book_follower.synced_s, 3),
        )
        return Failure(Problem(code, detail=detail, retry_after_s=retry_after_s))
