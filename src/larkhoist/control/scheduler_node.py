"""Put the tasks of one instance that schedules staged jobs together."""

import asyncio
import logging
import uuid
from collections.abc import Callable, Iterable

from larkhoist.control.catalog_keeper import CONFIGURATION_STREAM, CatalogKeeper
from larkhoist.control.cordon_keeper import CordonKeeper
from larkhoist.control.fleet_owner import OWNER_GAUGES, CreatePort, FleetOwner
from larkhoist.control.job_desk import DeskTimes, JobDesk
from larkhoist.control.operator_records import OperatorRecords
from larkhoist.control.roster_keeper import WORKER_STREAM, RosterKeeper
from larkhoist.control.settings import FleetSettings
from larkhoist.control.stream_follower import StreamFollower
from larkhoist.control.stream_writer import StreamWriter
from larkhoist.control.tenure_keeper import TenureKeeper
from larkhoist.control.worker_session import SessionTimes
from larkhoist.daemon.logs import log_event
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.jobs.book import JobBook
from larkhoist.jobs.catalog import Catalog
from larkhoist.jobs.records import JOB_STREAM
from larkhoist.ownership.log_tenure import (
    Fitness,
    TenureTimes,
    get_claim_patience_s,
)
from larkhoist.ports.fleet import HallCordon, ListedTaskWorker
from larkhoist.ports.keyed_log import KeyedLogPort, StoredRecord

__all__ = ["SchedulerNode", "create_scheduler_node"]

_logger = logging.getLogger(__name__)
CONFIG_WAIT_SHARE = 0.4
"""How much of the time in which a configuration must be in force one read waits: a
lost answer must not make it older than callers may see."""
BOOK_WAIT_S = 0.5
BOOK_PAUSE_S = 0.8
"""While nothing comes, the state is as old as two waits and a pause: less than the age
at which an instance calls itself not ready. Callers that need the present state have
the log read at once."""
ROSTER_PAUSE_S = 0.5
"""A leaving worker must be known well within the time it takes to leave."""
READY_AGE_S = 2.0
OFFER_S = 2.0
"""How long an owner that leaves goes on until another claims. A weak instance claims
1.5 s after the offer and looks each 0.4 s; callers get 2.2 s of notice anyway."""
TAKE_OVER_S = 6.0
"""How long a take-over may fail while the log keeps the renewals of the tenure: three
reads that get too little time on a slow link, and less than the leases that nobody
renews meanwhile."""
LONGEST_TAKE_OVER_S = 32.0


class _BookSink:
    """Fold records into the book and hand them on to the owner."""

    def __init__(self, node: "SchedulerNode"):
        self._node = node

    def replace(self, records: Iterable[StoredRecord]) -> None:
        self._node.book.replace(records)
        self._node.hand_over_book()

    def apply(self, record: StoredRecord) -> None:
        decoded = self._node.book.apply(record)
        if decoded is not None and self._node.owner is not None:
            self._node.owner.apply_record(decoded)


class SchedulerNode:
    """Own every task of one instance; ``start`` and ``close`` them in order."""

    def __init__(
        self,
        settings: FleetSettings,
        log: KeyedLogPort,
        decode_catalog: Callable[[StoredRecord], Catalog | None],
        decode_cordon: Callable[[StoredRecord], HallCordon | None],
        decode_worker: Callable[[StoredRecord], ListedTaskWorker | None],
        create_port: CreatePort,
    ):
        self._settings = settings
        self._log = log
        self._create_port = create_port
        self._incarnation = f"{settings.instance}/{uuid.uuid4().hex[:8]}"
        self.book = JobBook()
        self.owner: FleetOwner | None = None
        self.catalog = CatalogKeeper(decode_catalog)
        self._cordons = CordonKeeper(decode_cordon)
        self._decode_worker = decode_worker
        self._tenure_times = TenureTimes(
            patience_s=get_claim_patience_s(settings.cores)
        )
        self._catalog_follower = StreamFollower(
            log,
            CONFIGURATION_STREAM,
            OperatorRecords(self.catalog, self._cordons),
            CONFIG_WAIT_SHARE * settings.apply_s,
        )
        self._book_follower = StreamFollower(
            log, JOB_STREAM, _BookSink(self), BOOK_WAIT_S, BOOK_PAUSE_S
        )
        self._writer = StreamWriter(log, JOB_STREAM, self._incarnation)
        self._tenure = TenureKeeper(
            log,
            self._incarnation,
            self._tenure_times,
            self._assess,
            self._change_term,
        )
        self._desk_times = DeskTimes(config_age_s=0.9 * settings.apply_s)
        self.desk = JobDesk(
            self.catalog,
            self._catalog_follower,
            self.book,
            self._book_follower,
            self._writer,
            self._desk_times,
        )
        self.catalog.on_change = self._wake_owner
        self._cordons.on_change = self._wake_owner
        self._leaving = False
        self._take_over_s = TAKE_OVER_S
        self._changes: asyncio.Queue[int] = asyncio.Queue()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start every task."""
        await self._catalog_follower.start()
        await self._book_follower.start()
        await self._writer.start()
        await self._tenure.start()
        self._task = asyncio.create_task(self._run())
        log_event(
            _logger,
            "started",
            instance=self._incarnation,
            hall=self._settings.hall,
            lease_s=self._settings.lease_s,
            apply_s=self._settings.apply_s,
        )

    async def leave(self) -> None:
        """Give up the tenure and call the instance not ready."""
        self._leaving = True
        log_event(_logger, "leaving", term=self.term)
        if self.owner is not None:
            await self._tenure.offer(OFFER_S)
        await self._close_owner()
        await self._tenure.close()

    async def close(self) -> None:
        """Stop every task."""
        await self.leave()
        if self._task is not None:
            self._task.cancel()
        await self._writer.close()
        await self._book_follower.close()
        await self._catalog_follower.close()
        log_event(_logger, "stopped", instance=self._incarnation)

    @property
    def term(self) -> int:
        """Return the term of the tenure that this instance holds, or 0."""
        return self._tenure.term

    def is_ready(self, now_s: float) -> bool:
        """Tell whether callers are answered by a current state."""
        return self.assess(now_s) is Fitness.FIT

    def assess(self, now_s: float) -> Fitness:
        """Return whether the instance may serve and claim, or what keeps it."""
        if self._leaving:
            return Fitness.LEAVING
        if self.catalog.catalog is None:
            return Fitness.UNLOADED
        if now_s - self._catalog_follower.synced_s > self._desk_times.config_age_s:
            return Fitness.OLD_CONFIGURATION
        if now_s - self._book_follower.synced_s > READY_AGE_S:
            is_loaded = self._book_follower.is_loaded
            return Fitness.OLD_STATE if is_loaded else Fitness.UNLOADED
        if self.is_append_stuck(now_s):
            return Fitness.APPENDS_WAIT
        return Fitness.FIT

    def is_append_stuck(self, now_s: float) -> bool:
        """Tell whether records have been waiting for the log for long."""
        return self._writer.get_delay_s(now_s) > READY_AGE_S / 2

    def knows_leaving(self, worker: str) -> bool:
        """Tell whether this instance, as the owner, knows that a worker leaves."""
        return self.owner is not None and self.owner.knows_leaving(worker)

    def measure(self) -> dict[str, float]:
        """Return the gauges of the metrics page."""
        now_s = asyncio.get_running_loop().time()
        catalog = self.catalog.catalog
        counts = dict.fromkeys(OWNER_GAUGES, 0.0)
        if self.owner is not None:
            counts |= self.owner.measure()
        return {
            **counts,
            "fleet_term": float(self.term),
            "fleet_vacant_s": self._tenure.get_vacant_s(now_s),
            "fleet_jobs": float(len(self.book.entries)),
            "fleet_config_version": float(catalog.version if catalog else 0),
            "fleet_cordoned_halls": float(len(self._cordons.halls)),
            "fleet_config_age_s": now_s - self._catalog_follower.synced_s,
            "fleet_state_age_s": now_s - self._book_follower.synced_s,
            "fleet_append_delay_s": self._writer.get_delay_s(now_s),
            "log_offset": float(self._book_follower.position),
            "ready": float(self.is_ready(now_s)),
        }

    def hand_over_book(self) -> None:
        """Let the owner see jobs that came while the stream's history was gone."""
        if self.owner is not None:
            self.owner.take_book()

    async def _run(self) -> None:
        while True:
            term = await self._changes.get()
            await self._close_owner()
            if term and term == self._tenure.term and not self._leaving:
                await self._begin_owner(term)

    async def _close_owner(self) -> None:
        """Close the owner, if any; a loss of the tenure may come while one leaves."""
        owner, self.owner = self.owner, None
        if owner is not None:
            self._note_take_over(owner.has_taken_over)
            await owner.close()
            self._book_follower.set_pause_s(BOOK_PAUSE_S)

    def _note_take_over(self, done: bool) -> None:
        """Give the next take-over more time after one that did not end.

        Where all take long, nobody would come to an end otherwise.
        """
        longer_s = min(2 * self._take_over_s, LONGEST_TAKE_OVER_S)
        self._take_over_s = TAKE_OVER_S if done else longer_s

    async def _begin_owner(self, term: int) -> None:
        policy = FleetPolicy(
            lease_s=self._settings.lease_s,
            predecessor_s=self._tenure_times.predecessor_s,
            stop_s=self._settings.stop_s,
            restore_s=self._settings.restore_s,
        )
        roster = RosterKeeper(self._decode_worker)
        roster_follower = StreamFollower(
            self._log, WORKER_STREAM, roster, 0.0, ROSTER_PAUSE_S
        )
        self._book_follower.set_pause_s(0.0)
        self.owner = FleetOwner(
            term,
            self._log,
            self.book,
            self._book_follower,
            roster,
            roster_follower,
            self.catalog,
            self._cordons,
            policy,
            SessionTimes(),
            self._create_port,
            self._tenure,
            self._take_over_s,
            self._settings.keep_s,
        )
        await self.owner.start()

    def _assess(self) -> Fitness:
        return self.assess(asyncio.get_running_loop().time())

    def _change_term(self, term: int) -> None:
        self._changes.put_nowait(term)

    def _wake_owner(self) -> None:
        if self.owner is not None:
            self.owner.wake()


def create_scheduler_node(
    settings: FleetSettings,
    log: KeyedLogPort,
    decode_catalog: Callable[[StoredRecord], Catalog | None],
    decode_cordon: Callable[[StoredRecord], HallCordon | None],
    decode_worker: Callable[[StoredRecord], ListedTaskWorker | None],
    create_port: CreatePort,
) -> SchedulerNode:
    """Return an instance for checked settings; start it before use."""
    return SchedulerNode(
        settings, log, decode_catalog, decode_cordon, decode_worker, create_port
    )
