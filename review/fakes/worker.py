"""Stand in for a runner of the platform."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from fakes.store import Store

__all__ = ["CAPACITY", "Worker"]

CAPACITY = {"cpu": 32000, "mem_mb": 65536, "gpu": 8}


class _Run:
    """One run in progress."""

    def __init__(self, attempt: int, timer: asyncio.TimerHandle):
        self.attempt = attempt
        self.timer = timer


class Worker:
    """Runner that works ``work_s`` on each task; ``record`` is told its events."""

    def __init__(
        self,
        name: str,
        zone: str,
        work_s: float,
        hold_max_s: float,
        record: Callable[..., None],
    ):
        self.name = name
        self.address = ""
        self._zone = zone
        self._work_s = work_s
        self._hold_max_ms = int(1000 * hold_max_s)
        self._record = record
        self._born_s = asyncio.get_running_loop().time()
        self._token = 0
        self._runs: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list] = []
        self._number = 0
        self._lease_until_ms = 0
        self._lease: asyncio.TimerHandle | None = None
        self._ended = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, store: Store) -> None:
        """Listen on a free port and list it in the store."""
        await self.listen()
        await self.register(store)

    async def listen(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_post("/v1/run-start", self._start_run)
        app.router.add_post("/v1/run-stop", self._stop_run)
        app.router.add_post("/v1/hold", self._hold)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def register(self, store: Store, address: str = "") -> None:
        """Write the runner's entry, with ``address`` or its own if that is empty."""
        entry = {
            "service": "srv",
            "address": address or self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmup_left_ms": 0,
            "capacity": CAPACITY,
            "labels": ["a", f"r-{self._zone}"],
            "clock_ms": self._get_clock_ms(),
            "seq": 1,
        }
        await store.put("keyed.servers", self.name, entry)

    async def close(self) -> None:
        """End all runs and stop listening."""
        for run in self._runs.values():
            run.timer.cancel()
        if self._lease is not None:
            self._lease.cancel()
        await self._runner.cleanup()

    async def _start_run(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        if call["deadline_ms"] <= self._get_clock_ms():
            return self._answer(409, reason="late")
        self._extend_lease(call["deadline_ms"])
        task, attempt = call["task"], call["attempt"]
        running = self._runs.get(task)
        if running is not None and running.attempt == attempt:
            return self._answer()
        if running is not None or attempt <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._work_s, self._end, task, "done")
        self._runs[task] = _Run(attempt, timer)
        self._record("start", worker=self.name, task=task, attempt=attempt)
        return self._answer()

    async def _stop_run(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        task, attempt = call["task"], call["attempt"]
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        if task in self._runs and self._runs[task].attempt <= attempt:
            self._end(task, "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        call = await request.json()
        refusal = self._refuse(request, call)
        if refusal is not None:
            return refusal
        self._extend_lease(call.get("deadline_ms") or 0)
        seen = call.get("last_seen", 0)
        self._ends = [row for row in self._ends if row[0] > seen]
        self._ended.clear()
        if not self._ends and call.get("wait_ms"):
            try:
                async with asyncio.timeout(call["wait_ms"] / 1000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        active = [[task, run.attempt, "", 50] for task, run in self._runs.items()]
        return self._answer(active=active, finished_at=self._ends[:500])

    def _refuse(self, request: web.Request, call: dict) -> web.Response | None:
        if request.headers.get("Expected-Instance", self.name) != self.name:
            return web.json_response({}, status=421)
        if call.get("fencing_token", 0) < self._token:
            return self._answer(409, reason="fence")
        self._token = call.get("fencing_token", 0)
        return None

    def _extend_lease(self, until_ms: int) -> None:
        until_ms = min(until_ms, self._get_clock_ms() + self._hold_max_ms)
        if until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = until_ms
        if self._lease is not None:
            self._lease.cancel()
        delay_s = (until_ms - self._get_clock_ms()) / 1000
        self._lease = asyncio.get_running_loop().call_later(delay_s, self._lapse)

    def _lapse(self) -> None:
        for task in list(self._runs):
            self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        run.timer.cancel()
        self._number += 1
        self._ends.append([self._number, task, run.attempt, how, ""])
        self._highest[task] = max(run.attempt, self._highest.get(task, 0))
        self._record("end", worker=self.name, task=task, attempt=run.attempt, how=how)
        self._ended.set()

    def _answer(self, status: int = 200, **fields) -> web.Response:
        answer = {"clock_ms": self._get_clock_ms(), **fields}
        return web.json_response(answer, status=status)

    def _get_clock_ms(self) -> int:
        return int(1000 * (asyncio.get_running_loop().time() - self._born_s))
