"""Acquire ownership of a data hall and schedule its jobs while it is owned."""

import asyncio
import logging
import random
from collections.abc import Callable

import aiohttp

from larkhoist.adapters.worker import create_worker
from larkhoist.daemon.log_follower import LogFollower
from larkhoist.daemon.log_writer import LogWriter
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.daemon.worker_link import CommandAnswer, LeaseAnswer, WorkerLinkTask
from larkhoist.log.plan import make_hall_indexes
from larkhoist.log.records import JobClaimed
from larkhoist.log.state import JobEntry, JobState
from larkhoist.ownership.order import order_instances
from larkhoist.ownership.roster import ListedWorker, match_workers, recover_jobs
from larkhoist.ownership.tenure import LeaseTerms, Tenure
from larkhoist.placement.fragmentation import EXPECTED_MIX, get_fragmentation
from larkhoist.ports.platform import Instance, InstanceList
from larkhoist.scheduling.effect import Append, Effect, Send
from larkhoist.scheduling.hall import HallScheduler, create_hall_scheduler
from larkhoist.scheduling.policy import SchedulingPolicy

__all__ = ["HallOwner"]

_logger = logging.getLogger(__name__)
CLAIM_DELAY_PER_RANK_S = 2.0
CATCH_UP_RETRY_S = 1.0
IDLE_INTERVAL_FACTOR = 4
MIN_SLOTS_FOR_REQUESTS = 2


class HallOwner:
    """The owner of a data hall: acquires worker leases and runs the scheduler.

    It begins to ask for leases when ``is_candidate`` returns true, and schedules
    jobs while it holds the leases of a majority of the hall's workers.
    """

    def __init__(
        self,
        incarnation: str,
        hall: str,
        terms: LeaseTerms,
        policy: SchedulingPolicy,
        keeper: StateKeeper,
        writer: LogWriter,
        follower: LogFollower,
        interval_s: float,
        is_candidate: Callable[[], bool],
    ):
        self._hall = hall
        self._policy = policy
        self._keeper = keeper
        self._writer = writer
        self._follower = follower
        self._interval_s = interval_s
        self._is_candidate = is_candidate
        self.tenure = Tenure(incarnation, terms)
        self.scheduler: HallScheduler | None = None
        self._session: aiohttp.ClientSession | None = None
        self._links: dict[str, WorkerLinkTask] = {}
        self._workers: dict[str, Instance] = {}
        self._listed: dict[str, ListedWorker] = {}
        self._upstreams: dict[str, Instance] = {}
        self._halls: list[str] = []
        self._hall_indexes = make_hall_indexes(())
        self._inbox: list[LeaseAnswer | CommandAnswer] = []
        self._first_seen: dict[str, float] = {}
        self._claimed: set[str] = set()
        self._log_read_to_end = False
        self._next_tenure_s = 0.0
        self._next_catch_up_s = 0.0
        self._catch_up_task: asyncio.Task[bool] | None = None
        self._synced_offset: int | None = None
        self._synced_to_log_end = False
        self._has_delayed_claims = False
        self._task: asyncio.Task | None = None
        self._random = random.Random()

    async def start(self) -> None:
        """Start the periodic task that acquires the hall and schedules its jobs."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=0)
        )
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop scheduling and close every connection; held leases expire."""
        await cancel_tasks([self._task, self._catch_up_task])
        await self._close_links()
        if self._session is not None:
            await self._session.close()

    @property
    def epoch(self) -> int:
        """Return the epoch of the owned hall, or 0 if it is not owned."""
        return self.tenure.epoch if self.scheduler is not None else 0

    def count_leases(self) -> int:
        """Return the number of workers whose lease this instance holds."""
        now_s = asyncio.get_running_loop().time()
        return sum(self.tenure.holds(name, now_s) for name in self._workers)

    def count_jobs(self) -> int:
        """Return the number of waiting and running jobs of the hall."""
        return len(self.scheduler.jobs) if self.scheduler is not None else 0

    def explain(self, job_id: str) -> str:
        """Return why a job waits or where it runs.

        The text is empty if this instance does not schedule the job.
        """
        if self.scheduler is None or job_id not in self.scheduler.jobs:
            return ""
        return self.scheduler.explain(job_id, asyncio.get_running_loop().time())

    def get_fragmentation(self) -> float:
        """Return the fragmentation of the hall, or 0 if it is not owned."""
        if self.scheduler is None:
            return 0.0
        return get_fragmentation(self.scheduler.accelerators.free, EXPECTED_MIX)

    def set_instances(self, listed: InstanceList) -> None:
        """Replace the hall's workers and upstreams by those in the list."""
        in_hall = [i for i in listed.instances if i.hall == self._hall]
        self._workers = {
            i.name: i for i in in_hall if i.kind == "worker" and i.accelerators
        }
        self._listed = {
            i.name: ListedWorker(i.rack, i.accelerators, i.leaving)
            for i in self._workers.values()
        }
        self._upstreams = {i.name: i for i in in_hall if i.kind == "upstream"}
        self._hall_indexes = make_hall_indexes(listed.instances)
        self._halls = sorted(self._hall_indexes)
        now_s = asyncio.get_running_loop().time()
        self.tenure.set_workers(set(self._workers), now_s)

    def get_ceilings(self) -> dict[str, int]:
        """Return, by upstream of the hall, how many slots requests may use.

        The result is empty if the hall is not owned.
        """
        if self.scheduler is None:
            return {}
        ceilings = {}
        for upstream in self._upstreams.values():
            worker = self.scheduler.accelerators.workers.get(upstream.worker)
            if worker is not None:
                free_slots = upstream.slots - (worker.busy | worker.held).bit_count()
                ceilings[upstream.name] = max(MIN_SLOTS_FOR_REQUESTS, free_slots)
        return ceilings

    async def _run(self) -> None:
        while True:
            rounds = 1 if self.tenure.is_trying else IDLE_INTERVAL_FACTOR
            await asyncio.sleep(self._interval_s * rounds)
            try:
                await self._tick(asyncio.get_running_loop().time())
            except Exception:
                _logger.exception("hall-owner-failed")

    async def _tick(self, now_s: float) -> None:
        self._process_answers(now_s)
        self.tenure.update(now_s)
        if not self.tenure.is_trying:
            if now_s >= self._next_tenure_s and self._workers and self._is_candidate():
                await self._begin_tenure(now_s)
            return
        await self._reconcile_links()
        if self.scheduler is None and self.tenure.has_majority:
            self._gain_tenure()
        elif self.scheduler is not None and not self.tenure.has_majority:
            await self._end_tenure(now_s, "majority-lost")
            return
        elif self.tenure.must_yield(now_s) or self._is_outranked():
            await self._end_tenure(now_s, "no-majority")
            return
        if self.scheduler is not None:
            self._catch_up(now_s)
            self._schedule(now_s)

    def _catch_up(self, now_s: float) -> None:
        """Read the log to its end once per tenure, without blocking scheduling."""
        if self._catch_up_task is not None:
            if not self._catch_up_task.done():
                return
            self._log_read_to_end = self._catch_up_task.result()
            self._catch_up_task = None
        if not self._log_read_to_end and now_s >= self._next_catch_up_s:
            self._next_catch_up_s = now_s + CATCH_UP_RETRY_S
            self._catch_up_task = asyncio.create_task(self._follower.catch_up())

    # Tenure.

    async def _begin_tenure(self, now_s: float) -> None:
        self.tenure.begin(now_s)
        log_event(_logger, "tenure-tried", hall=self._hall, epoch=self.tenure.epoch)
        await self._reconcile_links()

    def _is_outranked(self) -> bool:
        # Two candidates that each hold half of the leases would block each other
        # for ever, so the one that ranks lower ends its attempt.
        return self.scheduler is None and not self._is_candidate()

    async def _end_tenure(self, now_s: float, reason: str) -> None:
        log_event(_logger, "tenure-ended", epoch=self.tenure.epoch, reason=reason)
        self.scheduler = None
        self.tenure.end()
        pause_s = self.tenure.terms.renew_s * (0.5 + self._random.random())
        self._next_tenure_s = now_s + pause_s
        await self._close_links()
        self._inbox.clear()

    def _gain_tenure(self) -> None:
        log_event(_logger, "tenure-gained", hall=self._hall, epoch=self.tenure.epoch)
        self.scheduler = create_hall_scheduler(self._hall, self._policy)
        self._log_read_to_end = False
        self._catch_up_task = None
        self._synced_offset = None
        self._synced_to_log_end = False
        self._claimed.clear()

    async def _reconcile_links(self) -> None:
        for name in self._links.keys() - self._workers.keys():
            await self._links.pop(name).close()
        for name in self._workers.keys() - self._links.keys():
            worker = create_worker(self._session, self._workers[name].address, name)
            link = WorkerLinkTask(name, worker, self.tenure, self._inbox.append)
            self._links[name] = link
            await link.start()

    async def _close_links(self) -> None:
        links = list(self._links.values())
        self._links.clear()
        await asyncio.gather(*(link.close() for link in links))

    # Scheduling.

    def _schedule(self, now_s: float) -> None:
        scheduler = self.scheduler
        match_workers(scheduler, self.tenure, self._listed, now_s)
        changed = self._synced_offset != self._keeper.state.next_offset
        if changed or self._has_delayed_claims:
            self._sync_jobs(now_s)
        if scheduler.has_recovering():
            effects = recover_jobs(scheduler, self.tenure, self._log_read_to_end, now_s)
            self._carry_out(effects, now_s)
            if not scheduler.has_recovering():
                log_event(_logger, "hall-recovered", jobs=len(scheduler.jobs))
        self._carry_out(scheduler.decide(now_s), now_s)

    def _sync_jobs(self, now_s: float) -> None:
        state = self._keeper.state
        scheduler = self.scheduler
        # Jobs that were on the log before its end was read in this tenure may run
        # under an earlier owner. The first synchronization after that still adds some.
        recovering = not self._synced_to_log_end
        self._synced_offset = state.next_offset
        self._synced_to_log_end = self._log_read_to_end
        self._has_delayed_claims = False
        scheduler.set_customers(state.customers)
        for job_id, entry in state.jobs.items():
            if entry.state is JobState.ENDED:
                if job_id in scheduler.jobs:
                    self._carry_out(scheduler.note_ended(job_id), now_s)
            elif entry.state is JobState.PENDING:
                self._consider_claim(job_id, entry, now_s)
            elif entry.hall == self._hall:
                self._sync_job(job_id, entry, recovering, now_s)

    def _sync_job(
        self, job_id, entry: JobEntry, recovering: bool, now_s: float
    ) -> None:
        scheduler = self.scheduler
        if job_id not in scheduler.jobs:
            age_s = max(0, self._keeper.state.log_ms - entry.submitted_ms) / 1000
            scheduler.add_job(
                entry.spec,
                entry.attempt,
                now_s - age_s,
                recovering,
                entry.failures,
                entry.early_losses,
            )
            self._claimed.discard(job_id)
        if entry.state is JobState.PLACED:
            scheduler.note_placed(job_id, entry.attempt, entry.workers)
        if entry.cancelled:
            self._carry_out(scheduler.cancel_job(job_id, now_s), now_s)

    def _consider_claim(self, job_id: str, entry: JobEntry, now_s: float) -> None:
        spec = entry.spec
        if job_id in self._claimed or spec.hall not in ("", self._hall):
            return
        total = self._hall_indexes.get(self._hall)
        shape = (spec.members, spec.accelerators, spec.adjacency)
        if total is None or total.find(*shape) is None:
            return
        seen_s = self._first_seen.setdefault(job_id, now_s)
        rank = order_instances(job_id, self._halls).index(self._hall)
        if not spec.hall and now_s < seen_s + rank * CLAIM_DELAY_PER_RANK_S:
            self._has_delayed_claims = True
            return
        self._first_seen.pop(job_id, None)
        self._claimed.add(job_id)
        self._writer.add(JobClaimed(job_id, self._hall))

    def _carry_out(self, effects: list[Effect], now_s: float) -> None:
        for effect in effects:
            match effect:
                case Send(worker, command):
                    link = self._links.get(worker)
                    if link is not None:
                        link.send(command)
                case Append(record):
                    fields = {"kind": type(record).__name__, "job": record.job_id}
                    log_event(_logger, "job", **fields)
                    self._writer.add(record)

    def _process_answers(self, now_s: float) -> None:
        answers, self._inbox[:] = list(self._inbox), []
        for answer in answers:
            if answer.epoch != self.tenure.epoch:
                continue
            match answer:
                case LeaseAnswer(worker, _, sent_s, reply):
                    self._process_lease_answer(worker, sent_s, reply, now_s)
                case CommandAnswer():
                    self._process_command_answer(answer)

    def _process_lease_answer(self, worker, sent_s, reply, now_s) -> None:
        if reply is None:
            self.tenure.note_silence(worker)
            return
        self.tenure.note_reply(worker, sent_s, reply)
        if reply.granted and self.scheduler is not None:
            effects = self.scheduler.note_report(worker, reply.tasks)
            self._carry_out(effects, now_s)

    def _process_command_answer(self, answer: CommandAnswer) -> None:
        if self.scheduler is None:
            return
        reply = answer.reply
        for index, command in enumerate(answer.commands):
            done = None
            if reply is not None:
                done = not reply.fenced and reply.done[index]
            self.scheduler.note_command(command, done)
