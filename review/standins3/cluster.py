"""Start a small deployment: the project's processes beside stand-ins of the rest."""

import asyncio
import json
import os
import random
import shlex
import shutil
import socket
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from runner import Runner, Work
from store import Store

__all__ = ["HOST", "KEYS", "PREFIXES", "PUBLIC_PREFIX", "Answer", "Cluster", "Instance"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "queue.example"
SERVICE = "studio"
PREFIXES = {0: "/urgent/", 1: "/normal/", 2: "/batch/"}
PUBLIC_PREFIX = "/open/"
KEYS = {"tenant-a": "key-of-a", "tenant-b": "key-of-b"}
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "apply_ms": 2000,
    "max_skew_ms": 5000,
    "recover_s": 12,
    "hold_max_ms": 10000,
    "stop_ms": 900,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "save_s": 0.5,
    "restore_ms": 250,
    "lease_ms": 3000,
}
MEMORY_MB = 300
RESTART_S = 0.5
"""The platform starts a process that ends again after a short delay."""
MEMORY_CHECK_S = 0.01


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a consumer's call; ``status`` is 0 if there was none."""

    status: int
    body: dict


@dataclass(slots=True)
class Instance:
    """One machine of the system: its settings file and its newest process.

    ``ends`` holds how often its process ended by itself, ``over_memory`` how often it
    was killed for going over ``memory_mb``.
    """

    name: str
    http: str
    readiness: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None
    ends: int = 0
    over_memory: int = 0
    peak_mb: float = 0.0
    closing: bool = False
    tasks: list[asyncio.Task] = field(default_factory=list)


class Cluster:
    """Store, runners and processes of the system, and a record of what happened.

    ``limits_memory`` makes the platform kill processes over ``memory_mb``, as its
    pages describe.
    """

    def __init__(
        self, record: Path, *, instances: int, runners: int, limits_memory: bool = False
    ):
        self.store = Store()
        self._record = record.open("w")
        self._began_s = time.monotonic()
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._jobs: dict[str, list[Work]] = {}
        self._limits_memory = limits_memory
        self.starts: dict[str, list[float]] = {}
        self.ends: dict[str, list[tuple[float, str]]] = {}
        # Outgoing connections come from 127.0.0.1 and can't take the port of
        # an instance or a runner that restarts.
        net = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        host = self._host = f"{net}.1"
        ports = _find_free_ports(host, 3 * instances)
        self.runners = [
            Runner(
                number,
                self.store,
                SERVICE,
                self._get_work,
                self.note,
                host=f"{net}.2",
                rack=f"r{1 + number // 8}",
            )
            for number in range(runners)
        ]
        self.instances = [
            Instance(
                f"edge-{number + 1}",
                f"{host}:{ports[3 * number]}",
                f"{host}:{ports[3 * number + 1]}",
                self._folder / f"edge-{number + 1}.json",
                self._folder / f"edge-{number + 1}.log",
            )
            for number in range(instances)
        ]
        self._admin_ports = ports[2::3]
        self._session: aiohttp.ClientSession | None = None

    # Starting and closing.

    async def start(self, configuration: dict | None = None) -> None:
        """Start everything and wait until every instance is ready."""
        await self.store.start()
        self.store.put("keyed.op", "config", configuration or make_configuration())
        for runner in self.runners:
            await runner.start()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        for instance, admin in zip(self.instances, self._admin_ports, strict=True):
            self._write_settings(instance, admin)
            await self._launch(instance)
        for instance in self.instances:
            await self._wait_until_ready(instance)
        self.note("ready", instances=len(self.instances), runners=len(self.runners))

    async def close(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for instance in self.instances:
            instance.closing = True
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
        for instance in self.instances:
            if instance.process is not None:
                await instance.process.wait()
            for task in instance.tasks:
                task.cancel()
        for runner in self.runners:
            await runner.close()
        if self._session is not None:
            await self._session.close()
        await self.store.close()
        self._record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self._folder, ignore_errors=True)

    def _write_settings(self, instance: Instance, admin_port: int) -> None:
        settings = {
            "node_name": instance.name,
            "role": "scheduler",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": self._host,
            "zone": "hall",
            "region": "site",
            "zones": {"hall": "site"},
            "listen_addrs": {
                "http": instance.http,
                "readiness": instance.readiness,
                "admin": f"{self._host}:{admin_port}",
            },
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_quota": 0.537,
                "cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": 4100,
                "bandwidth_mbps": 1000.0,
            },
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "commands": "request",
            "platform": {
                "address": self.store.address,
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": 300,
                "part_mb": 200,
            },
        }
        instance.settings.write_text(json.dumps(settings))

    async def _launch(self, instance: Instance) -> None:
        role = _read_role()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= role.get("env", {})
        environment["LARKHOIST_NODE_FILE"] = str(instance.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with instance.log.open("ab") as log:
            instance.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.note("launched", instance=instance.name)
        watch = self._watch(instance, instance.process)
        instance.tasks.append(asyncio.create_task(watch))
        measure = self._measure(instance, instance.process)
        instance.tasks.append(asyncio.create_task(measure))

    async def _watch(self, instance: Instance, process) -> None:
        code = await process.wait()
        if instance.closing:
            return
        instance.ends += 1
        self.note("process-ended", instance=instance.name, code=code)
        await asyncio.sleep(RESTART_S)
        if not instance.closing:
            await self._launch(instance)

    async def _measure(self, instance: Instance, process) -> None:
        path = Path(f"/proc/{process.pid}/statm")
        page_mb = os.sysconf("SC_PAGE_SIZE") / 2**20
        while process.returncode is None:
            try:
                used_mb = int(path.read_text().split()[1]) * page_mb
            except (OSError, IndexError):
                return
            instance.peak_mb = max(instance.peak_mb, used_mb)
            if self._limits_memory and used_mb > MEMORY_MB:
                instance.over_memory += 1
                self.note("over-memory", instance=instance.name, mb=round(used_mb))
                process.kill()
                return
            await asyncio.sleep(MEMORY_CHECK_S)

    async def _wait_until_ready(self, instance: Instance) -> None:
        for _ in range(200):
            try:
                url = f"http://{instance.readiness}/v1/readyz"
                async with self._session.get(url) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{instance.name} is not ready")

    # Consumers.

    async def call(
        self,
        method: str,
        path: str,
        *,
        key: str = "",
        body: dict | None = None,
        instance: int = 0,
        timeout_s: float = 3.0,
    ) -> Answer:
        """Make one call as a consumer and record it with its answer."""
        headers = {"Host": HOST, "Content-Type": "application/json"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://{self.instances[instance].http}{path}"
        data = json.dumps(body).encode() if body is not None else None
        self.note("sent", method=method, path=path, key=key, to=instance + 1)
        try:
            async with self._session.request(
                method,
                url,
                headers=headers,
                data=data,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                text = await response.text()
                answer = Answer(response.status, json.loads(text) if text else {})
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            answer = Answer(0, {})
        self.note(
            "answered",
            method=method,
            path=path,
            to=instance + 1,
            status=answer.status,
            body=answer.body,
        )
        return answer

    async def submit(
        self, job_id: str, works: list[Work], body: dict, *, priority: int, key: str
    ) -> Answer:
        """Hand a job in, retrying as a consumer does: 4 times, at other instances."""
        self._jobs[job_id] = works
        answer = Answer(0, {})
        for attempt in range(5):
            answer = await self.call(
                "POST",
                PREFIXES[priority] + job_id,
                key=key,
                body=body,
                instance=attempt % len(self.instances),
            )
            if answer.status == 200:
                return answer
            await asyncio.sleep(0.5)
        return answer

    async def get_state(self, job_id: str, *, priority: int, key: str) -> str:
        """Return the shown state of a job; asks the instances in turn."""
        for attempt in range(len(self.instances)):
            answer = await self.call(
                "GET",
                PREFIXES[priority] + job_id,
                key=key,
                instance=attempt % len(self.instances),
            )
            if answer.status == 200:
                return answer.body["state"]
            await asyncio.sleep(0.3)
        return f"status {answer.status}"

    # The record.

    def get_now_s(self) -> float:
        """Return the seconds since the cluster was made."""
        return time.monotonic() - self._began_s

    def note(self, event: str, **fields: object) -> None:
        """Write one line to the record and index starts and ends of tasks."""
        now_s = self.get_now_s()
        match event:
            case "start":
                self.starts.setdefault(fields["task"], []).append(now_s)
            case "end":
                ends = self.ends.setdefault(fields["task"], [])
                ends.append((now_s, fields["how"]))
        line = {"at_s": round(now_s, 3), "event": event, **fields}
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()

    def _get_work(self, task: str) -> Work | None:
        job_id, _, step, _ = task.split(".")
        works = self._jobs.get(job_id)
        return works[int(step)] if works is not None else None


def make_configuration(version: int = 1) -> dict:
    """Return a configuration with one queue for each priority and a public one."""
    routes = [
        {
            "name": f"r-{priority}",
            "host": HOST,
            "path_prefix": prefix,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": priority,
            "service": SERVICE,
            "max_attempts": 4 if priority == 0 else 2,
            "extension": 3.0,
            "public": False,
        }
        for priority, prefix in PREFIXES.items()
    ]
    routes.append(
        {**routes[2], "name": "r-open", "path_prefix": PUBLIC_PREFIX, "public": True}
    )
    tenants = [
        {"name": name, "api_keys": [key], "guaranteed": {"gpu": 8}}
        for name, key in KEYS.items()
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "preconditions": True}],
        "tenants": tenants,
        "limits": {"max_body_bytes": 262144},
    }


def _read_role() -> dict:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return next(iter(deploy["roles"].values()))


def _find_free_ports(host: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports
