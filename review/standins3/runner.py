"""Simulate runners as the platform's page describes them, with sound behaviour only."""

import asyncio
import itertools
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web
from store import Store

__all__ = ["Runner", "Work"]

HEARTBEAT_S = 1.5
SAVE_S = 0.5
RESTORE_S = 0.25
STOP_S = 0.2
HOLD_MAX_MS = 10_000
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpu": 8}


@dataclass(frozen=True, slots=True)
class Work:
    """What a task takes: its room, its time, and the length of its checkpoint."""

    need: dict[str, int]
    work_s: float
    checkpoint_bytes: int = 0


@dataclass(slots=True)
class _Run:
    attempt: int
    work: Work
    began_s: float
    done_before_s: float = 0.0
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False
    spec: str = ""

    def get_checkpoint(self, now_s: float) -> str:
        """Return the checkpoint: the work done, filled up to its length."""
        if not self.work.checkpoint_bytes:
            return ""
        done_s = self.done_before_s + max(0.0, now_s - self.began_s)
        saved_s = min(self.work.work_s, done_s) // SAVE_S * SAVE_S
        if saved_s <= 0:
            return ""
        return f"{int(saved_s * 1000):08x}".ljust(self.work.checkpoint_bytes, "0")


@dataclass(slots=True)
class Runner:
    """One runner; ``get_work`` tells what a task takes, by its name.

    ``note`` is called with each event on the runner. After ``crash`` nothing answers
    at its address; a new life has a new id.
    """

    number: int
    store: Store
    service: str
    get_work: Callable[[str], Work | None]
    note: Callable[..., None]
    host: str = "127.0.0.1"
    rack: str = "r1"
    zone: str = "hall"
    name: str = ""
    port: int = 0
    is_up: bool = False
    _token: int = 0
    _runs: dict[str, _Run] = field(default_factory=dict)
    _ends: list[list] = field(default_factory=list)
    _highest: dict[str, int] = field(default_factory=dict)
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    _lease_ms: int = 0
    _lease: asyncio.TimerHandle | None = None
    _ended: asyncio.Event = field(default_factory=asyncio.Event)
    _born_s: float = 0.0
    _web: web.AppRunner | None = None
    _beat: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin a life under a new id, at the address of the former one if any."""
        self.name = f"i-{uuid.uuid4().hex[:10]}"
        self._token = 0
        self._runs, self._ends, self._highest = {}, [], {}
        self._numbers = itertools.count(1)
        self._lease_ms = 0
        self._born_s = asyncio.get_running_loop().time()
        app = web.Application()
        app.add_routes(
            [
                web.post("/v1/run-start", self._start_run),
                web.post("/v1/run-stop", self._stop_run),
                web.post("/v1/hold", self._hold),
            ]
        )
        self._web = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await self._web.setup()
        site = web.TCPSite(self._web, self.host, self.port, reuse_address=True)
        await site.start()
        self.port = self._web.addresses[0][1]
        self.is_up = True
        self._beat = asyncio.create_task(self._write_entries())
        self.note("runner-up", runner=self.name, number=self.number)

    async def crash(self) -> None:
        """End the life at once; nothing of it is reported."""
        if not self.is_up:
            return
        self.is_up = False
        lost = sorted(self._runs)
        for run in self._runs.values():
            run.timer.cancel()
        self._runs = {}
        if self._lease is not None:
            self._lease.cancel()
        self._beat.cancel()
        for connection in list(self._web.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self._web.cleanup()
        self.note("runner-crashed", runner=self.name, number=self.number, lost=lost)
        # The platform removes the entry after three check-ins of silence.
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.store.put, *self._make_removal())

    async def close(self) -> None:
        """Stop serving at the end of a test."""
        if self.is_up:
            self.is_up = False
            for run in self._runs.values():
                run.timer.cancel()
            if self._lease is not None:
                self._lease.cancel()
            self._beat.cancel()
            await self._web.cleanup()

    def fail(self, task: str) -> None:
        """End a run as failed by its own fault."""
        self._end(task, "failed")

    def list_running(self) -> list[str]:
        """Return the names of the tasks that run."""
        return sorted(self._runs)

    def _make_removal(self) -> tuple[str, str, None]:
        return "keyed.servers", self.name, None

    async def _write_entries(self) -> None:
        for seq in itertools.count(1):
            entry = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "warmup_left_ms": 0,
                "seq": seq,
                "capacity": CAPACITY,
                "labels": ["a", self.rack],
                "clock_ms": self._get_clock_ms(),
            }
            self.store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _start_run(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        task, attempt = call["task"], call["attempt"]
        if call["deadline_ms"] <= self._get_clock_ms():
            return self._answer(409, reason="late")
        running = self._runs.get(task)
        if running is not None and running.attempt == attempt:
            self._extend_lease(call["deadline_ms"])
            return self._answer()
        if running is not None or attempt <= self._highest.get(task, 0):
            self._extend_lease(call["deadline_ms"])
            return self._answer(409, reason="old")
        work = self.get_work(task)
        if work is None:
            self.note("unknown-task", task=task)
            return self._answer(400)
        if not self._has_room(work):
            self._extend_lease(call["deadline_ms"])
            return self._answer(409, reason="room")
        self._extend_lease(call["deadline_ms"])
        self._begin(task, attempt, work, call)
        return self._answer()

    def _begin(self, task: str, attempt: int, work: Work, call: dict) -> None:
        loop = asyncio.get_running_loop()
        saved = call.get("checkpoint", "")
        before_s = int(saved[:8], 16) / 1000 if saved else 0.0
        restore_s = RESTORE_S if saved else 0.0
        run = _Run(attempt, work, loop.time() + restore_s, before_s)
        left_s = restore_s + max(0.0, work.work_s - before_s)
        run.timer = loop.call_later(left_s, self._end, task, "done")
        self._runs[task] = run
        self.note("start", task=task, attempt=attempt, runner=self.name)

    async def _stop_run(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        task, attempt = call["task"], call["attempt"]
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.attempt <= attempt and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_S, self._end, task, "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        self._extend_lease(call.get("deadline_ms") or 0)
        seen = call.get("last_seen", 0)
        noted = [row for row in self._ends if row[0] <= seen]
        for row in noted:
            self.note("noted", task=row[1], attempt=row[2], how=row[3])
        self._ends = [row for row in self._ends if row[0] > seen]
        wait_s = min(call.get("wait_ms") or 0, 2000) / 1000
        if wait_s and not self._ends:
            self._ended.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._ended.wait()
            except TimeoutError:
                pass
        now_s = asyncio.get_running_loop().time()
        active = [
            [task, run.attempt, run.get_checkpoint(now_s), self._get_percent(run)]
            for task, run in self._runs.items()
        ]
        return self._answer(active=active, finished_at=self._ends[:500])

    def _get_percent(self, run: _Run) -> int:
        passed_s = asyncio.get_running_loop().time() - run.began_s
        done_s = run.done_before_s + max(0.0, passed_s)
        return min(100, int(100 * done_s / max(run.work.work_s, 0.001)))

    def _has_room(self, work: Work) -> bool:
        return all(
            sum(run.work.need.get(kind, 0) for run in self._runs.values())
            + work.need.get(kind, 0)
            <= CAPACITY[kind]
            for kind in CAPACITY
        )

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        run.timer.cancel()
        now_s = asyncio.get_running_loop().time()
        saved = "" if how == "done" else run.get_checkpoint(now_s)
        self._highest[task] = max(run.attempt, self._highest.get(task, 0))
        self._ends.append([next(self._numbers), task, run.attempt, how, saved])
        self.note("end", task=task, attempt=run.attempt, how=how, runner=self.name)
        self._ended.set()

    def _extend_lease(self, until_ms: int) -> None:
        now_ms = self._get_clock_ms()
        until_ms = min(until_ms, now_ms + HOLD_MAX_MS)
        if until_ms <= self._lease_ms:
            return
        self._lease_ms = until_ms
        if self._lease is not None:
            self._lease.cancel()
        loop = asyncio.get_running_loop()
        self._lease = loop.call_later((until_ms - now_ms) / 1000, self._lapse)

    def _lapse(self) -> None:
        for task in list(self._runs):
            self._end(task, "lapsed")

    def _refuse(self, request: web.Request, call: dict) -> web.Response | None:
        if request.headers.get("Expected-Instance", self.name) != self.name:
            return web.json_response({}, status=421)
        if call.get("fencing_token", 0) < self._token:
            return self._answer(409, reason="fence")
        self._token = call.get("fencing_token", 0)
        return None

    def _answer(self, status: int = 200, **fields) -> web.Response:
        answer = {"clock_ms": self._get_clock_ms(), **fields}
        return web.json_response(answer, status=status)

    def _get_clock_ms(self) -> int:
        return int((asyncio.get_running_loop().time() - self._born_s) * 1000)
