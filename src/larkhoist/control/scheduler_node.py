"""Assemble the components of one instance that schedules staged jobs."""

import asyncio
import logging
import uuid
from collections.abc import Callable, Iterable

from larkhoist.control.catalog_keeper import CONFIGURATION_STREAM, CatalogKeeper
from larkhoist.control.cordon_keeper import CordonKeeper
from larkhoist.control.fleet_owner import OWNER_GAUGES, CreatePort, FleetOwner
from larkhoist.control.job_operations import JobOperations, JobOperationTimes
from larkhoist.control.operator_records import OperatorRecords
from larkhoist.control.roster_keeper import WORKER_STREAM, RosterKeeper
from larkhoist.control.settings import FleetSettings
from larkhoist.control.start_limit import create_start_limit
from larkhoist.control.stream_follower import StreamFollower
from larkhoist.control.stream_writer import StreamWriter, get_batch_limit
from larkhoist.control.tenure_keeper import TenureKeeper
from larkhoist.control.worker_session import CallLimits, SessionTimes
from larkhoist.daemon.logs import log_event
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.jobs.catalog import Catalog
from larkhoist.jobs.records import JOB_STREAM
from larkhoist.jobs.registry import JobRegistry
from larkhoist.ownership.capacity import (
    FULL_BANDWIDTH_MBPS,
    InstanceCapacity,
    get_strength,
)
from larkhoist.ownership.log_tenure import (
    Fitness,
    TenureTimes,
    get_claim_delay_s,
)
from larkhoist.ports.fleet import HallCordon, ListedTaskWorker
from larkhoist.ports.keyed_log import KeyedLogPort, StoredRecord

__all__ = ["SchedulerNode", "create_scheduler_node"]

_logger = logging.getLogger(__name__)
CONFIG_WAIT_SHARE = 0.4
"""How long one read waits, as a share of the time in which a configuration must be in
force: the loss of one answer must not make it older than callers may see."""
BOOK_WAIT_S = 0.5
BOOK_PAUSE_S = 0.8
"""Without new records, the state is at most two waits and a pause old, which is less
than ``MAX_STATE_AGE_S``. Calls that need the current state read the log at once."""
ROSTER_PAUSE_S = 0.5
"""Short, since a leaving worker must be noticed well before it has left."""
MAX_STATE_AGE_S = 2.0
"""An instance whose state is older is not ready."""
OFFER_TIMEOUT_S = 2.2
"""How long a leaving owner continues until another instance claims the tenure. An
instance with few cores and a slow link claims 1.9 s after it has read the offer;
callers get 2.2 s of notice in any case."""
MIN_TAKE_OVER_TIMEOUT_S = 6.0
"""How long a take-over may fail while the log accepts renewals of the tenure. Allows
three reads that time out on a slow link, and is shorter than the leases of workers,
which are not renewed meanwhile."""
MAX_TAKE_OVER_TIMEOUT_S = 32.0


class _BookSink:
    """Apply records to the registry and pass them on to the owner."""

    def __init__(self, node: "SchedulerNode"):
        self._node = node

    def replace(self, records: Iterable[StoredRecord]) -> None:
        self._node.registry.replace(records)
        self._node.update_owner_jobs()

    def apply(self, record: StoredRecord) -> None:
        decoded = self._node.registry.apply(record)
        if decoded is not None and self._node.owner is not None:
            self._node.owner.apply_record(decoded)


class SchedulerNode:
    """The components of one instance; starts and closes them in order."""

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
        self.registry = JobRegistry()
        self.owner: FleetOwner | None = None
        self.catalog = CatalogKeeper(decode_catalog)
        self._cordons = CordonKeeper(decode_cordon)
        self._decode_worker = decode_worker
        capacity = InstanceCapacity(settings.cores, settings.bandwidth_mbps)
        self._strength = get_strength(capacity)
        self._tenure_times = TenureTimes(claim_delay_s=get_claim_delay_s(capacity))
        self._catalog_follower = StreamFollower(
            log,
            CONFIGURATION_STREAM,
            OperatorRecords(self.catalog, self._cordons),
            CONFIG_WAIT_SHARE * settings.apply_s,
        )
        self._book_follower = StreamFollower(
            log, JOB_STREAM, _BookSink(self), BOOK_WAIT_S, BOOK_PAUSE_S
        )
        self._writer = StreamWriter(
            log,
            JOB_STREAM,
            self._incarnation,
            max_batch_bytes=get_batch_limit(settings.bandwidth_mbps),
        )
        self._tenure = TenureKeeper(
            log,
            self._incarnation,
            self._tenure_times,
            self._assess,
            self._queue_term_change,
            capacity,
            hands_over=settings.handover,
        )
        self._job_operation_times = JobOperationTimes(
            config_age_s=0.9 * settings.apply_s
        )
        self.job_operations = JobOperations(
            self.catalog,
            self._catalog_follower,
            self.registry,
            self._book_follower,
            self._writer,
            self._job_operation_times,
        )
        self.catalog.on_change = self._wake_owner
        self._cordons.on_change = self._wake_owner
        self._leaving = False
        self._take_over_timeout_s = MIN_TAKE_OVER_TIMEOUT_S
        self._term_changes: asyncio.Queue[int] = asyncio.Queue()
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
        """Offer the tenure to other instances, release it and report not ready."""
        self._leaving = True
        log_event(_logger, "leaving", term=self.term)
        if self.owner is not None:
            await self._tenure.offer(OFFER_TIMEOUT_S)
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
        """Tell whether calls are answered from a current state."""
        return self.assess(now_s) is Fitness.FIT

    def assess(self, now_s: float) -> Fitness:
        """Return whether the instance may serve calls and claim, or why it may not."""
        if self._leaving:
            return Fitness.LEAVING
        if self.catalog.catalog is None:
            return Fitness.UNLOADED
        if (
            now_s - self._catalog_follower.synced_s
            > self._job_operation_times.config_age_s
        ):
            return Fitness.OLD_CONFIGURATION
        if now_s - self._book_follower.synced_s > MAX_STATE_AGE_S:
            is_loaded = self._book_follower.is_loaded
            return Fitness.OLD_STATE if is_loaded else Fitness.UNLOADED
        if self.is_append_stuck(now_s):
            return Fitness.APPENDS_WAIT
        return Fitness.FIT

    def is_append_stuck(self, now_s: float) -> bool:
        """Tell whether records have waited too long for the log."""
        return self._writer.get_delay_s(now_s) > MAX_STATE_AGE_S / 2

    def is_worker_leaving(self, worker: str) -> bool:
        """Tell whether this instance is the owner and a worker is leaving."""
        return self.owner is not None and self.owner.is_worker_leaving(worker)

    def get_gauges(self) -> dict[str, float]:
        """Return the gauges of the metrics page."""
        now_s = asyncio.get_running_loop().time()
        catalog = self.catalog.catalog
        counts = dict.fromkeys(OWNER_GAUGES, 0.0)
        if self.owner is not None:
            counts |= self.owner.get_gauges()
        return {
            **counts,
            "fleet_term": float(self.term),
            "fleet_strength": self._strength or 0.0,
            "fleet_vacant_s": self._tenure.get_vacant_s(now_s),
            "fleet_jobs": float(len(self.registry.entries)),
            "fleet_config_version": float(catalog.version if catalog else 0),
            "fleet_cordoned_halls": float(len(self._cordons.halls)),
            "fleet_config_age_s": now_s - self._catalog_follower.synced_s,
            "fleet_state_age_s": now_s - self._book_follower.synced_s,
            "fleet_append_delay_s": self._writer.get_delay_s(now_s),
            "log_offset": float(self._book_follower.position),
            "ready": float(self.is_ready(now_s)),
        }

    def update_owner_jobs(self) -> None:
        """Pass jobs on to the owner after the registry was loaded again."""
        if self.owner is not None:
            self.owner.add_open_jobs()

    async def _run(self) -> None:
        while True:
            term = await self._term_changes.get()
            await self._close_owner()
            if term and term == self._tenure.term and not self._leaving:
                await self._start_owner(term)

    async def _close_owner(self) -> None:
        """Close the owner, if any; the tenure may be lost while the instance leaves."""
        owner, self.owner = self.owner, None
        if owner is not None:
            self._update_take_over_timeout(owner.has_taken_over)
            await owner.close()
            self._book_follower.set_pause_s(BOOK_PAUSE_S)

    def _update_take_over_timeout(self, done: bool) -> None:
        """Double the time-out after a failed take-over, reset it after a complete one.

        Without this, no instance would complete a take-over if all need long.
        """
        longer_s = min(2 * self._take_over_timeout_s, MAX_TAKE_OVER_TIMEOUT_S)
        self._take_over_timeout_s = MIN_TAKE_OVER_TIMEOUT_S if done else longer_s

    async def _start_owner(self, term: int) -> None:
        policy = FleetPolicy(
            lease_s=self._settings.lease_s,
            cut_off_renewal_s=self._tenure_times.cut_off_renewal_s,
            stop_s=self._settings.stop_s,
            restore_s=self._settings.restore_s,
            progress_blocks=_writes_blocks(self._settings),
        )
        roster = RosterKeeper(self._decode_worker)
        roster_follower = StreamFollower(
            self._log, WORKER_STREAM, roster, 0.0, ROSTER_PAUSE_S
        )
        self._book_follower.set_pause_s(0.0)
        self.owner = FleetOwner(
            term,
            self._log,
            self.registry,
            self._book_follower,
            roster,
            roster_follower,
            self.catalog,
            self._cordons,
            policy,
            SessionTimes(),
            CallLimits(starts=create_start_limit(self._settings.bandwidth_mbps)),
            self._create_port,
            self._tenure,
            self._take_over_timeout_s,
            self._settings.keep_s,
            self._settings.bandwidth_mbps,
        )
        await self.owner.start()

    def _assess(self) -> Fitness:
        return self.assess(asyncio.get_running_loop().time())

    def _queue_term_change(self, term: int) -> None:
        self._term_changes.put_nowait(term)

    def _wake_owner(self) -> None:
        if self.owner is not None:
            self.owner.wake()


def _writes_blocks(settings: FleetSettings) -> bool:
    is_slow = settings.bandwidth_mbps < FULL_BANDWIDTH_MBPS
    return settings.progress_blocks and is_slow


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
