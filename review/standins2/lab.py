"""Start a small deployment: the store, runners, and instances as processes."""

import asyncio
import json
import os
import re
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from standins2.link import Link
from standins2.runner import Run, Runner, Work
from standins2.store import Store

__all__ = ["KEY", "LONGEST_S", "PREFIX", "Instance", "Lab"]

ROOT = Path(__file__).resolve().parents[2]
KEY = "k-tenant-1"
HOST = "queue.example"
PREFIX = "/jobs/"
LONGEST_S = 110.0
"""How long a script may run."""
CALL_TIMEOUT_S = 3.0
CHECK_S = 0.01
RESTART_S = 1.0
LISTENING = re.compile(r"event=listening front=(\S+) readiness=(\S+)")
START_TIMEOUT_S = 15.0


class Instance:
    """One instance, started with the command of the deploy file."""

    def __init__(self, lab: "Lab", name: str, zone: str):
        self._lab = lab
        self.name = name
        self._zone = zone
        self.front = ""
        self.link: Link | None = None
        self.lines: list[str] = []
        self.peaks_mb: list[int] = []
        self._watch: asyncio.Task | None = None
        self._handle: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        lab = self._lab
        if self.link is None:
            self.link = Link(lab.store.address)
            await self.link.start()
        free = "127.0.0.1:0"
        settings = {
            "node_name": self.name,
            "role": "scheduler",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": self._zone,
            "listen_addrs": {"http": free, "readiness": free, "admin": free},
            "limits": {"cpu_quota": 0.537, "cores": 2, "memory_mb": lab.memory_mb,
                       "bandwidth_mbps": 1000.0},
            "heartbeat_ms": 1500,
            "bounds": lab.bounds,
            "commands": "request",
            "platform": {"address": self.link.address, "form": "log",
                         "record_bytes": 262144, "call_bytes": 2097152},
        }  # fmt: skip
        path = lab.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environment["LARKHOIST_NODE_FILE"] = str(path)
        environment["LARKHOIST_PROGRESS_BLOCKS"] = "1"
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self._handle = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/run.py",
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        listening = asyncio.get_running_loop().create_future()
        self._reader = asyncio.create_task(self._read(listening))
        async with asyncio.timeout(START_TIMEOUT_S):
            self.front = await listening
        lab.note("instance-up", name=self.name, front=self.front)

    def limit_memory(self) -> None:
        """From now on, do what the platform does to a process over its limit.

        It is killed, and started again after a short delay.
        """
        self._watch = asyncio.create_task(self._enforce())

    async def _enforce(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            peak_mb = self.get_peak_mb()
            if peak_mb <= self._lab.memory_mb:
                continue
            self.peaks_mb.append(peak_mb)
            self._lab.note("over-memory", name=self.name, peak_mb=peak_mb)
            await self._end()
            await asyncio.sleep(RESTART_S)
            await self.start()

    def get_peak_mb(self) -> int:
        """Return the peak of the memory of the process, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found[1]) // 1024 if found else 0

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._lab.note("signal", name=self.name, signal=number.name)
        self._handle.send_signal(number)

    async def close(self) -> None:
        """Kill the process."""
        if self._watch is not None:
            self._watch.cancel()
            await asyncio.wait([self._watch])
        await self._end()
        if self.link is not None:
            await self.link.close()

    async def _end(self) -> None:
        if self._handle is not None and self._handle.returncode is None:
            self._handle.kill()
            await self._handle.wait()
        if self._reader is not None:
            await self._reader

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._handle.pid

    async def _read(self, listening: asyncio.Future) -> None:
        while line := await self._handle.stdout.readline():
            text = line.decode(errors="replace").rstrip()
            self.lines.append(text)
            found = LISTENING.search(text)
            if found is not None and not listening.done():
                listening.set_result(found[1])


class Lab:
    """The deployment; everything that is sent, answered and run is recorded."""

    def __init__(
        self,
        folder: Path,
        *,
        runners: int = 8,
        instances: int = 3,
        priority: int = 1,
        memory_mb: int = 300,
    ):
        self.memory_mb = memory_mb
        self.bounds = {
            "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
            "apply_ms": 2000, "hold_max_ms": 6000, "stop_ms": 200, "gang_ms": 3000,
            "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
            "status_s": 120, "save_s": 1, "restore_ms": 100, "lease_ms": 3000,
        }  # fmt: skip
        self._case = folder
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.began_s = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self.store = Store()
        self.runs: list[Run] = []
        self.work: dict[str, Work] = {}
        capacity = {"cpu": 32000, "mem_mb": 65536, "gpu": 8}
        self.runners = [
            Runner(
                self.store,
                f"m-{number}",
                f"zone-{number % 3}",
                f"r1-{number // 4}",
                capacity,
                self.bounds["hold_max_ms"],
                lambda job: self.work.get(job, Work()),
                self.note,
                self.runs,
            )
            for number in range(runners)
        ]
        self.instances = [
            Instance(self, f"edge-{number}", f"zone-{number % 3}")
            for number in range(instances)
        ]
        self._priority = priority
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Lab":
        await self.store.start()
        self._session = aiohttp.ClientSession()
        await self.store.put("keyed.op", "config", make_config(self._priority))
        for runner in self.runners:
            await runner.start()
        await asyncio.gather(*(one.start() for one in self.instances))
        return self

    async def __aexit__(self, *_) -> None:
        for instance in self.instances:
            await instance.close()
        for runner in self.runners:
            await runner.close()
        await self._session.close()
        await self.store.close()
        self._record.close()
        self._temporary.cleanup()

    def note(self, event: str, **fields) -> None:
        """Write a line to the record."""
        at_s = time.monotonic() - self.began_s
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._record.write(f"{at_s:8.3f} {event} {text}\n")
        self._record.flush()

    async def call(
        self,
        method: str,
        job: str,
        body: dict | None = None,
        at: int = 0,
        deadline_ms: int = 0,
    ) -> tuple[int, dict]:
        """Send a consumer's call to an instance; status 0 if there is no answer."""
        url = f"http://{self.instances[at].front}{PREFIX}{job}"
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        if deadline_ms:
            headers["Deadline-Ms"] = str(deadline_ms)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as response:
                text = await response.text()
                status = response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            status, text = 0, json.dumps({"error": repr(error)})
        try:
            answer = json.loads(text)
        except ValueError:
            answer = {"text": text[:200]}
        self.note("call", method=method, job=job, at=at, status=status, answer=answer)
        return status, answer

    async def submit(self, job: str, body: dict, at: int = 0) -> bool:
        """Hand a job in, as a consumer does: again after no answer, 502 or 504."""
        for number in range(5):
            where = (at + number) % len(self.instances)
            status, _ = await self.call("POST", job, body, where)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def get_state(self, job: str, at: int = 0) -> str:
        """Return the state that a job is shown with, or the status of a refusal."""
        status, answer = await self.call("GET", job, at=at)
        return answer.get("state", "") if status == 200 else str(status)

    async def wait_until_ready(self) -> None:
        """Wait until every instance answers a call from its configuration."""
        for at in range(len(self.instances)):
            async with asyncio.timeout(12):
                while (await self.call("GET", "", at=at))[0] != 200:
                    await asyncio.sleep(0.2)

    async def wait_until(self, condition, timeout_s: float) -> bool:
        """Wait until a condition holds; tell whether it does in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return condition()

    def find_active(self, task: str) -> tuple[Runner, Run] | None:
        """Return where a task runs, None if nowhere."""
        for runner in self.runners:
            if runner.is_up and task in runner.active:
                return runner, runner.active[task]
        return None


def make_config(priority: int) -> dict:
    """Return the operator's configuration: one queue, one tenant."""
    route = {
        "name": "queue-1",
        "host": HOST,
        "path_prefix": PREFIX,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        "priority": priority,
        "service": "srv",
        "max_attempts": 2,
        "extension": 3.0,
        "public": False,
    }
    tenant = {"name": "tenant-1", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
    service = {"name": "srv", "preconditions": True, "headroom": False}
    return {
        "version": 1,
        "routes": [route],
        "tenants": [tenant],
        "services": [service],
        "limits": {"max_body_bytes": 262144},
    }
