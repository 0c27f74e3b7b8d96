"""Assemble the tasks of one entry instance."""

import asyncio
import logging
import uuid

from aiohttp import web

from larkhoist.adapters.platform import create_platform
from larkhoist.adapters.upstream import create_upstream
from larkhoist.border.settings import DaemonSettings
from larkhoist.codes import Code
from larkhoist.daemon.claimer import Claimer
from larkhoist.daemon.entry import EntryTask
from larkhoist.daemon.hall_owner import HallOwner
from larkhoist.daemon.list_poller import ListPoller
from larkhoist.daemon.log_follower import LogFollower
from larkhoist.daemon.log_writer import LogWriter
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.metrics import create_metrics
from larkhoist.daemon.operator_api import OperatorApi
from larkhoist.daemon.peer_link import KEEPALIVE_ROUNDS, PeerLink
from larkhoist.daemon.slot_table import SlotTable
from larkhoist.daemon.snapshot_writer import SnapshotWriter
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.daemon.tracing import create_tracer
from larkhoist.daemon.views import HallView, StatusView
from larkhoist.membership.peers import Gossip, PeerTable
from larkhoist.membership.readiness import decide_candidacy, decide_ready
from larkhoist.ownership.order import order_instances
from larkhoist.ownership.tenure import LeaseTerms
from larkhoist.ports.platform import InstanceList
from larkhoist.problem import Problem
from larkhoist.requests.policy import RequestPolicy
from larkhoist.scheduling.policy import SchedulingPolicy

__all__ = ["DaemonInstance", "create_instance"]

_logger = logging.getLogger(__name__)
PEER_TIMEOUT_ROUNDS = 2 * KEEPALIVE_ROUNDS + 2
LOAD_INTERVAL_S = 0.1
NOT_READY_RETRY_S = 1.0
DRAINING_RETRY_S = 1.0
BUSY_RETRY_S = 1.0
FLUSH_TIMEOUT_S = 2.0
HANDLER_SHUTDOWN_S = 1.0
LATE_REQUEST_GRACE_S = 0.2


class DaemonInstance:
    """All tasks of one instance, started and closed in order."""

    def __init__(self, settings: DaemonSettings):
        self._settings = settings
        timing, limits, listen = settings.timing, settings.limits, settings.listen
        self._metrics = create_metrics()
        self._platform = create_platform(settings.platform_url, settings.instance)
        self._upstream = create_upstream()
        self._keeper = StateKeeper(limits.max_tail_entries)
        self._table = PeerTable(timing.gossip_s * PEER_TIMEOUT_ROUNDS)
        self._list_poller = ListPoller(self._platform, timing.list_poll_s)
        self._peers = PeerLink(
            f"tcp://{listen.address}:{listen.peer_port}",
            settings.hall,
            self._table,
            self._keeper,
            self._list_poller,
            self._make_gossip,
            lambda job_id: self._owner.explain(job_id),
            timing.gossip_s,
        )
        self._follower = LogFollower(
            self._platform, self._keeper, self._peers, timing.log_wait_s
        )
        incarnation = f"{settings.instance}/{uuid.uuid4().hex[:8]}"
        self._writer = LogWriter(
            self._platform, incarnation, self._metrics, self._get_append_rate
        )
        self._snapshots = SnapshotWriter(
            self._platform, self._keeper, timing.snapshot_s, self._is_snapshot_writer
        )
        self._owner = HallOwner(
            incarnation,
            settings.hall,
            _make_lease_terms(settings),
            _make_scheduling_policy(settings),
            self._keeper,
            self._writer,
            self._follower,
            timing.decide_s,
            self._is_candidate,
        )
        self._slots = SlotTable(settings.hall, _make_request_policy(settings))
        claimer = Claimer(
            settings.instance, self._keeper, self._writer, timing.claim_wait_s
        )
        self._entry = EntryTask(
            self._keeper,
            claimer,
            self._slots,
            self._upstream,
            self._metrics,
            create_tracer(settings.log.spans),
            limits.max_answer_bytes,
            self._check_serving,
        )
        self._operator_api = OperatorApi(
            self._keeper,
            self._writer,
            self._list_poller,
            self._explain,
            self._make_status,
            self._check_serving,
        )
        self._list_poller.on_change = self._take_list
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._update_task: asyncio.Task | None = None
        self._ready = False
        self._draining = False
        self._refusing = False

    async def start(self) -> None:
        """Start every task and the HTTP server."""
        settings = self._settings
        await self._platform.start()
        await self._upstream.start()
        await self._peers.start()
        self._peers.set_peers(dict.fromkeys(settings.seed_peers, settings.hall))
        await self._list_poller.start()
        await self._follower.start()
        await self._writer.start()
        await self._snapshots.start()
        await self._owner.start()
        await self._entry.start()
        self._update_task = asyncio.create_task(self._update_readiness_and_loads())
        await self._listen()
        listen = self._settings.listen
        log_event(
            _logger,
            "started",
            instance=self._settings.instance,
            hall=self._settings.hall,
            http=f"{listen.address}:{listen.http_port}",
        )

    async def close(self) -> None:
        """Drain and stop.

        The readiness check fails first, so that the balancer stops sending requests;
        then requests in flight are finished.
        """
        timing = self._settings.timing
        self._draining = True
        log_event(_logger, "draining", in_flight=self._entry.in_flight)
        await asyncio.sleep(timing.drain_notice_s)
        self._refusing = True
        finished = await self._entry.drain(timing.drain_s)
        await self._writer.flush(FLUSH_TIMEOUT_S)
        await self._site.stop()
        # Requests on the last accepted connections may only arrive now.
        await asyncio.sleep(LATE_REQUEST_GRACE_S)
        await self._entry.drain(timing.drain_s)
        await self._runner.cleanup()
        await cancel_tasks([self._update_task])
        for task in (
            self._entry,
            self._owner,
            self._snapshots,
            self._writer,
            self._follower,
            self._list_poller,
            self._peers,
            self._upstream,
            self._platform,
        ):
            await task.close()
        log_event(_logger, "stopped", drained=finished)

    async def _listen(self) -> None:
        limits, listen = self._settings.limits, self._settings.listen
        app = web.Application(client_max_size=limits.max_body_bytes)
        app.add_routes(self._operator_api.get_routes())
        app.add_routes(
            [
                web.post("/v1/services/{service}/{path:.*}", self._entry.handle),
                web.get("/healthz", self._get_health),
                web.get("/readyz", self._get_readiness),
                web.get("/metrics", self._get_metrics),
            ]
        )
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=limits.max_headers,
            shutdown_timeout=HANDLER_SHUTDOWN_S,
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            listen.address,
            listen.http_port,
            backlog=limits.max_connections,
        )
        await self._site.start()

    # Decisions that combine the state of several tasks.

    def _check_serving(self) -> Problem | None:
        if self._refusing:
            return Problem(Code.DRAINING, retry_after_s=DRAINING_RETRY_S)
        if not self._ready:
            return Problem(Code.NOT_READY, retry_after_s=NOT_READY_RETRY_S)
        if self._entry.in_flight > self._settings.limits.max_in_flight:
            return Problem(Code.QUEUE_FULL, retry_after_s=BUSY_RETRY_S)
        return None

    def _is_candidate(self) -> bool:
        return decide_candidacy(
            self._settings.instance,
            self._settings.hall,
            self._ready,
            self._draining,
            self._get_live_peers(),
        )

    def _is_snapshot_writer(self) -> bool:
        names = [gossip.instance for gossip in self._get_live_peers() if gossip.ready]
        own_name = self._settings.instance
        return (
            self._ready
            and order_instances("snapshots", [*names, own_name])[0] == own_name
        )

    def _get_append_rate(self) -> float:
        entries = sum(i.kind == "entry" for i in self._list_poller.listed.instances)
        return self._settings.limits.append_budget_per_s / max(1, entries)

    def _get_live_peers(self) -> list[Gossip]:
        return self._table.get_live(asyncio.get_running_loop().time())

    async def _explain(self, hall: str, job_id: str) -> str:
        if not hall:
            return ""
        return self._owner.explain(job_id) or await self._peers.ask_owner(hall, job_id)

    # Exchange with peers.

    def _make_gossip(self) -> Gossip:
        state, listen = self._keeper.state, self._settings.listen
        return Gossip(
            instance=self._settings.instance,
            hall=self._settings.hall,
            address=f"{listen.address}:{listen.peer_port}",
            next_offset=state.next_offset,
            revision=state.revision,
            ready=self._ready,
            draining=self._draining,
            owner_epoch=self._owner.epoch,
            in_flight=self._slots.get_in_flight(),
            ceilings=self._owner.get_ceilings(),
            list_version=self._list_poller.listed.version,
        )

    def _take_list(self, listed: InstanceList) -> None:
        self._peers.set_peers(
            {
                i.peer_address: i.hall
                for i in listed.instances
                if i.kind == "entry" and i.name != self._settings.instance
            }
        )
        self._slots.set_instances(listed, asyncio.get_running_loop().time())
        self._owner.set_instances(listed)

    async def _update_readiness_and_loads(self) -> None:
        while True:
            await asyncio.sleep(LOAD_INTERVAL_S)
            live = self._get_live_peers()
            state = self._keeper.state
            if not self._ready:
                self._ready = decide_ready(
                    self._follower.reached_end,
                    state.next_offset,
                    self._settings.hall,
                    live,
                )
                if self._ready:
                    log_event(_logger, "ready", next_offset=state.next_offset)
            hall = self._settings.hall
            now_s = asyncio.get_running_loop().time()
            ceilings = self._owner.get_ceilings()
            for gossip in live:
                if gossip.hall == hall and gossip.owner_epoch:
                    ceilings = gossip.ceilings
            remote = self._table.count_in_flight(hall, now_s)
            self._slots.set_loads(remote, ceilings, now_s)

    # Health, metrics and status.

    async def _get_health(self, _: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _get_readiness(self, _: web.Request) -> web.Response:
        if self._ready and not self._draining:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _get_metrics(self, request: web.Request) -> web.Response:
        state = self._keeper.state
        for name, value in {
            "queue": self._slots.count_waiting(),
            "in_flight": self._entry.in_flight,
            "upstreams": self._slots.count_upstreams(),
            "upstreams_ejected": self._slots.count_ejected(),
            "owner_epoch": self._owner.epoch,
            "leases": self._owner.count_leases(),
            "jobs": self._owner.count_jobs(),
            "fragmentation": self._owner.get_fragmentation(),
            "slots": self._slots.count_slots(),
            "log_offset": state.next_offset,
            "log_lag": self._follower.lag,
            "log_waiting": self._writer.count_waiting(),
            "platform_up": self._follower.platform_up,
            "revision": state.revision,
            "ready": self._ready,
            "peers": len(self._get_live_peers()),
        }.items():
            self._metrics.set(name, float(value))
        body, headers = self._metrics.render(request.headers.get("Accept", ""))
        return web.Response(body=body, headers=headers)

    def _make_status(self) -> StatusView:
        state = self._keeper.state
        now_s = asyncio.get_running_loop().time()
        known = [*self._table.get_all(), (self._make_gossip(), now_s)]
        halls: dict[str, list[tuple[Gossip, float]]] = {}
        for gossip, at_s in known:
            halls.setdefault(gossip.hall, []).append((gossip, at_s))
        return StatusView(
            self._settings.instance,
            self._settings.hall,
            self._ready,
            self._follower.platform_up,
            state.revision,
            state.next_offset,
            [
                _view_hall(hall, gossips, state.revision, now_s)
                for hall, gossips in sorted(halls.items())
            ],
        )


def create_instance(settings: DaemonSettings) -> DaemonInstance:
    """Return an instance for validated settings; start it before use."""
    return DaemonInstance(settings)


def _view_hall(hall, gossips, revision, now_s) -> HallView:
    newest_s = max(at_s for _, at_s in gossips)
    # Instances without recent gossip, such as replaced ones, must not lower the
    # hall's revision.
    current = [g for g, at_s in gossips if newest_s - at_s < 2.0]
    owner = max(current, key=lambda gossip: gossip.owner_epoch)
    lowest = min(gossip.revision for gossip in current)
    return HallView(
        hall,
        owner.instance if owner.owner_epoch else "",
        owner.owner_epoch,
        len(current),
        lowest,
        min(gossip.next_offset for gossip in current),
        lowest >= revision,
        round(max(0.0, now_s - newest_s), 1),
    )


def _make_lease_terms(settings: DaemonSettings) -> LeaseTerms:
    timing = settings.timing
    return LeaseTerms(
        term_s=timing.lease_term_s,
        renew_s=timing.lease_renew_s,
        task_term_s=timing.task_term_s,
        lost_after_s=timing.worker_lost_s,
    )


def _make_scheduling_policy(settings: DaemonSettings) -> SchedulingPolicy:
    policy = settings.policy
    return SchedulingPolicy(
        patience_s=policy.patience_s,
        drain_s=policy.drain_reservation_s,
        backfill=policy.backfill,
    )


def _make_request_policy(settings: DaemonSettings) -> RequestPolicy:
    limits = settings.limits
    return RequestPolicy(
        pack_share=settings.policy.pack_share,
        max_queue=limits.max_queue,
        max_customer_queue=limits.max_customer_queue,
    )
