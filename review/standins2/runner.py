"""Stand in for the platform's runners, as PROTOCOL.md describes them."""

import asyncio
import contextlib
import secrets
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from standins2.store import Store

__all__ = ["Run", "Runner", "Work"]

HEARTBEAT_S = 1.5
MISSED_CHECK_INS = 3


@dataclass
class Work:
    """What a job's tasks do: run for ``work_s``, and end ``how``."""

    work_s: float = 1.0
    how: str = "done"


@dataclass
class Run:
    """One start that a runner carried out."""

    runner: str
    machine: str
    task: str
    attempt: int
    spec: str
    began_s: float
    ended_s: float | None = None
    how: str = ""
    checkpoint: str = ""
    timer: asyncio.TimerHandle | None = field(default=None, repr=False)

    @property
    def job(self) -> str:
        """Return the id of the job."""
        return self.task.split(".")[0]


class Runner:
    """One machine of the service; each life after a crash has a new id."""

    def __init__(
        self,
        store: Store,
        machine: str,
        zone: str,
        rack: str,
        capacity: dict,
        longest_lease_ms: int,
        find_work: Callable[[str], Work],
        note: Callable[..., None],
        runs: list[Run],
    ):
        self._store = store
        self.machine = machine
        self._zone = zone
        self._labels = ["a", rack]
        self._capacity = capacity
        self._longest_ms = longest_lease_ms
        self._find_work = find_work
        self._note = note
        self._runs = runs
        self._port = 0
        self._web: web.AppRunner | None = None
        self._tasks: list[asyncio.Task] = []
        self.id = ""
        self.is_up = False

    async def start(self) -> None:
        """Begin a life: listen, and write the entry every heartbeat."""
        self.id = f"i-{secrets.token_hex(5)}"
        self._began_s = time.monotonic()
        self._seq = 0
        self._token = 0
        self._until_ms = 0
        self._lease: asyncio.TimerHandle | None = None
        self.active: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list] = []
        self._number = 0
        self._ended = asyncio.Event()
        self._draining_until_s: float | None = None
        app = web.Application()
        app.router.add_post("/v1/run-start", self._start_run)
        app.router.add_post("/v1/run-stop", self._stop_run)
        app.router.add_post("/v1/hold", self._hold)
        self._web = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await self._web.setup()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self._port))
        await web.SockSite(self._web, sock).start()
        self._port = sock.getsockname()[1]
        self.is_up = True
        self._note("runner-up", machine=self.machine, id=self.id)
        self._tasks = [asyncio.create_task(self._beat())]

    async def crash(self) -> None:
        """End at once, as a killed process does: connections reset, all runs die.

        The entry goes after three check-ins of silence.
        """
        self.is_up = False
        self._note("runner-crashes", machine=self.machine, id=self.id)
        for run in list(self.active.values()):
            self._finish(run, "lost with its runner")
        self.active = {}
        if self._lease is not None:
            self._lease.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in self._web.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self._web.cleanup()
        self._tasks = [asyncio.create_task(self._lapse_entry(self.id))]

    async def leave(self, drain_s: float) -> None:
        """Say that it drains, serve on for ``drain_s``, and end."""
        self._note("runner-drains", machine=self.machine, id=self.id)
        self._draining_until_s = time.monotonic() + drain_s
        await self._put_entry()
        await asyncio.sleep(drain_s)
        await self.crash()
        for task in self._tasks:
            task.cancel()
        await self._store.put("keyed.servers", self.id, None)

    async def close(self) -> None:
        """Stop at the end of the test."""
        for task in self._tasks:
            task.cancel()
        if self.is_up:
            self.is_up = False
            for run in self.active.values():
                if run.timer is not None:
                    run.timer.cancel()
            with contextlib.suppress(RuntimeError):
                await self._web.cleanup()

    async def _lapse_entry(self, runner_id: str) -> None:
        await asyncio.sleep(MISSED_CHECK_INS * HEARTBEAT_S)
        await self._store.put("keyed.servers", runner_id, None)

    async def _beat(self) -> None:
        while True:
            await self._put_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _put_entry(self) -> None:
        self._seq += 1
        entry = {
            "service": "srv",
            "address": f"127.0.0.1:{self._port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmup_left_ms": 0,
            "capacity": self._capacity,
            "labels": self._labels,
            "clock_ms": self._get_clock_ms(),
            "seq": self._seq,
        }
        if self._draining_until_s is not None:
            left_s = max(0.0, self._draining_until_s - time.monotonic())
            entry |= {"state": "draining", "remaining_ms": int(1000 * left_s)}
        await self._store.put("keyed.servers", self.id, entry)

    def _get_clock_ms(self) -> int:
        return int((time.monotonic() - self._began_s) * 1000)

    def _answer(self, status: int = 200, **fields) -> web.Response:
        body = {"clock_ms": self._get_clock_ms(), **fields}
        return web.json_response(body, status=status)

    def _refuse(self, request: web.Request, call: dict) -> web.Response | None:
        if request.headers.get("Expected-Instance", self.id) != self.id:
            return self._answer(421)
        token = call.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        return None

    def _extend(self, deadline_ms: int) -> None:
        until_ms = min(deadline_ms, self._get_clock_ms() + self._longest_ms)
        if until_ms <= self._until_ms:
            return
        self._until_ms = until_ms
        if self._lease is not None:
            self._lease.cancel()
        left_s = (until_ms - self._get_clock_ms()) / 1000
        self._lease = asyncio.get_running_loop().call_later(left_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.active.values()):
            self._end(run, "lapsed")

    async def _start_run(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        if call["deadline_ms"] <= self._get_clock_ms():
            return self._answer(409, reason="late")
        self._extend(call["deadline_ms"])
        task, attempt = call["task"], call["attempt"]
        running = self.active.get(task)
        if running is not None and running.attempt == attempt:
            return self._answer()
        if running is not None or attempt <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        run = Run(
            self.id,
            self.machine,
            task,
            attempt,
            call["spec"],
            time.monotonic(),
            checkpoint=call.get("checkpoint", ""),
        )
        self.active[task] = run
        self._runs.append(run)
        self._note("run-begins", task=task, attempt=attempt, machine=self.machine)
        work = self._find_work(run.job)
        if work.work_s != float("inf"):
            run.timer = asyncio.get_running_loop().call_later(
                work.work_s, self._end, run, work.how
            )
        return self._answer()

    async def _stop_run(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        task, attempt = call["task"], call["attempt"]
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        run = self.active.get(task)
        if run is not None and run.attempt <= attempt:
            self._end(run, "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        if call.get("deadline_ms"):
            self._extend(call["deadline_ms"])
        last = call.get("last_seen", -1)
        self._ends = [row for row in self._ends if row[0] > last]
        self._ended.clear()
        if not self._ends and call.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(2.0, call["wait_ms"] / 1000)):
                    await self._ended.wait()
        active = [[r.task, r.attempt, "", 100] for r in self.active.values()]
        return self._answer(active=active, finished_at=self._ends[:500])

    def _end(self, run: Run, how: str) -> None:
        if self.active.get(run.task) is not run:
            return
        del self.active[run.task]
        self._highest[run.task] = max(run.attempt, self._highest.get(run.task, 0))
        self._number += 1
        self._ends.append([self._number, run.task, run.attempt, how, ""])
        self._finish(run, how)
        self._ended.set()

    def _finish(self, run: Run, how: str) -> None:
        if run.timer is not None:
            run.timer.cancel()
        run.ended_s, run.how = time.monotonic(), how
        self._note("run-ends", task=run.task, attempt=run.attempt, how=how)
