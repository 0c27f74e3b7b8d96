"""Start and stop a small cluster of separate processes on the loopback address.

The demo, the measurements and the tests share this module; it is not shipped.
"""

import asyncio
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp

from demo.ports import PortReservations

__all__ = [
    "Answer",
    "Cluster",
    "ClusterShape",
    "Process",
    "ProcessError",
    "create_cluster",
    "wait_for",
]

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
SERVICE = "main"


class ProcessError(Exception):
    """A process did not start or stop, or a condition was not met, in time."""


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """Size of a cluster; counts are per data hall, slots per runner."""

    halls: tuple[str, ...] = ("hall-a", "hall-b", "hall-c")
    instances: int = 1
    workers: int = 4
    accelerators: int = 8
    workers_per_rack: int = 8
    runners: int = 2
    slots: int = 8
    connections: int = 64
    echo: bool = False
    settings: dict = field(default_factory=dict)


@dataclass(slots=True)
class Process:
    """One process of the cluster."""

    name: str
    handle: asyncio.subprocess.Process
    command: list[str]
    ports: list[int] = field(default_factory=list)
    log: Path | None = None
    frozen: bool = False

    def kill(self) -> None:
        """Send SIGKILL if the process is running."""
        if self.handle.returncode is None:
            self.handle.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.frozen = True
        self.handle.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.frozen = False
        self.handle.send_signal(signal.SIGCONT)


class Cluster:
    """Processes of one cluster, with their ports, settings and logs."""

    def __init__(self, shape: ClusterShape, daemon: str):
        self.shape = shape
        self._daemon = daemon
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.listed: list[dict] = []
        self._ports = PortReservations()
        self.session: aiohttp.ClientSession | None = None
        self._folder = TemporaryDirectory(prefix="larkhoist-")
        self._settings: dict[str, Path] = {}

    async def start(self) -> None:
        """Start every process and wait until the instances are ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=60),
        )
        platform = await self._start_stand_in("platform", [])
        self.addresses["platform"] = f"127.0.0.1:{platform.ports[0]}"
        await asyncio.gather(*(self._start_hall(hall) for hall in self.shape.halls))
        await self.publish(self.listed)
        for hall in self.shape.halls:
            for name in self.get_instances(hall):
                await self.start_instance(name)
        await asyncio.gather(*map(self.wait_ready, self._settings))

    async def close(self) -> None:
        """Stop every process and delete the settings and logs."""
        for process in self.processes.values():
            if process.handle.returncode is None:
                if process.frozen:
                    process.thaw()
                process.handle.terminate()
        waits = [p.handle.wait() for p in self.processes.values()]
        try:
            await asyncio.wait_for(asyncio.gather(*waits), STOP_TIMEOUT_S)
        except TimeoutError:
            for process in self.processes.values():
                process.kill()
            await asyncio.gather(*(p.handle.wait() for p in self.processes.values()))
        if self.session is not None:
            await self.session.close()
        self._ports.close()
        self._folder.cleanup()

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        self.processes[name].kill()
        await self.processes[name].handle.wait()

    async def stop(self, name: str) -> None:
        """Send SIGTERM to a process and wait until it has exited."""
        handle = self.processes[name].handle
        handle.terminate()
        try:
            await asyncio.wait_for(handle.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            log = self.read_log(name)[-4000:]
            raise ProcessError(f"{name} did not stop\n{log}") from None

    # Names and addresses.

    def get_instances(self, hall: str) -> list[str]:
        """Return the names of the entry instances of a hall."""
        return [f"{hall}-entry-{n}" for n in range(self.shape.instances)]

    def get_runners(self, hall: str) -> list[str]:
        """Return the names of the runners of a hall."""
        return [f"{hall}-runner-{n}" for n in range(self.shape.runners)]

    def get_workers(self, hall: str) -> list[str]:
        """Return the names of the workers of a hall."""
        return [f"{hall}-worker-{n}" for n in range(self.shape.workers)]

    # Processes.

    async def start_instance(self, name: str) -> Process:
        """Start or restart the daemon of one instance."""
        command = [
            sys.executable,
            "-m",
            self._daemon,
            str(self._settings[name]),
        ]
        log = Path(self._folder.name) / f"{name}.log"
        with log.open("ab") as output:
            handle = await asyncio.create_subprocess_exec(
                *command, stdout=output, stderr=output, cwd=_get_root()
            )
        process = Process(name, handle, command, log=log)
        self.processes[name] = process
        return process

    async def wait_ready(self, name: str) -> None:
        """Wait until an instance reports that it is ready."""

        async def is_ready() -> bool:
            try:
                async with self.session.get(self.get_url(name, "/readyz")) as response:
                    return response.status == 200
            except aiohttp.ClientError:
                return False

        try:
            await wait_for(is_ready, f"{name} is ready")
        except ProcessError as error:
            raise ProcessError(f"{error}\n{self.read_log(name)[-4000:]}") from None

    def read_log(self, name: str) -> str:
        """Return the log of an instance."""
        log = self.processes[name].log
        return log.read_text(errors="replace") if log is not None else ""

    async def _start_stand_in(self, module: str, arguments: list[str]) -> Process:
        command = [sys.executable, "-m", f"standins.{module}", *arguments]
        handle = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, cwd=_get_root()
        )
        line = await asyncio.wait_for(handle.stdout.readline(), START_TIMEOUT_S)
        words = line.decode().split()
        if not words or words[0] != "ready":
            raise ProcessError(f"{module} did not start")
        ports = [int(word) for word in words[1:]]
        name = module if module == "platform" else f"{module}-{len(self.processes)}"
        process = Process(name, handle, command, ports)
        self.processes[name] = process
        return process

    async def _start_hall(self, hall: str) -> None:
        workers = self.get_workers(hall)
        if workers:
            await self._start_workers(hall, workers)
        runners = self.get_runners(hall)
        if runners:
            await self._start_runners(hall, runners)
        for name in self.get_instances(hall):
            http_port, peer_port = self._ports.reserve(2)
            self.addresses[name] = f"127.0.0.1:{http_port}"
            self._write_settings(name, hall, http_port, peer_port)
            self.listed.append(
                {
                    "kind": "entry",
                    "name": name,
                    "hall": hall,
                    "address": self.addresses[name],
                    "peer_address": f"127.0.0.1:{peer_port}",
                }
            )

    async def _start_workers(self, hall: str, workers: list[str]) -> None:
        shape = self.shape
        process = await self._start_stand_in(
            "worker",
            ["--names", ",".join(workers), "--accelerators", str(shape.accelerators)],
        )
        self.addresses[f"{hall}-workers"] = f"127.0.0.1:{process.ports[0]}"
        for index, name in enumerate(workers):
            self.addresses[name] = f"127.0.0.1:{process.ports[0]}"
            self.listed.append(
                {
                    "kind": "worker",
                    "name": name,
                    "hall": hall,
                    "address": self.addresses[name],
                    "rack": f"{hall}-rack-{index // shape.workers_per_rack}",
                    "accelerators": shape.accelerators,
                }
            )

    async def _start_runners(self, hall: str, runners: list[str]) -> None:
        shape = self.shape
        arguments = ["--names", ",".join(runners), "--slots", str(shape.slots)]
        arguments += ["--connections", str(shape.connections)]
        arguments += ["--echo"] if shape.echo else []
        process = await self._start_stand_in("upstream", arguments)
        for index, (name, port) in enumerate(zip(runners, process.ports, strict=True)):
            self.addresses[name] = f"127.0.0.1:{port}"
            self.listed.append(
                {
                    "kind": "upstream",
                    "name": name,
                    "hall": hall,
                    "address": self.addresses[name],
                    "service": SERVICE,
                    "slots": shape.slots,
                    "connections": shape.connections,
                    "worker": f"{hall}-worker-{index}",
                }
            )

    def _write_settings(self, name, hall, http_port, peer_port) -> None:
        settings = {
            "instance": name,
            "hall": hall,
            "platform_url": f"http://{self.addresses['platform']}",
            "listen": {"http_port": http_port, "peer_port": peer_port},
            **self.shape.settings,
        }
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self._settings[name] = path

    # Calls.

    def get_url(self, name: str, path: str) -> str:
        """Return the URL of a path at a process."""
        return f"http://{self.addresses[name]}{path}"

    async def block_from_platform(self, *names: str) -> None:
        """Block calls of just the named instances to the platform."""
        await self.post("platform", "/cut", list(names))

    async def post(self, name: str, path: str, data=None, headers=None) -> "Answer":
        """Post JSON to a process."""
        async with self.session.post(
            self.get_url(name, path), json=data, headers=headers
        ) as response:
            return Answer(response.status, await response.read(), response.headers)

    async def get(self, name: str, path: str) -> "Answer":
        """Get a path of a process."""
        async with self.session.get(self.get_url(name, path)) as response:
            return Answer(response.status, await response.read(), response.headers)

    async def publish(self, instances: list[dict]) -> None:
        """Put instances on the platform's list."""
        await self.post("platform", "/instances", instances)

    async def mark_leaving(self, name: str, leaving: bool = True) -> None:
        """Mark an instance on the platform's list as leaving."""
        instance = next(item for item in self.listed if item["name"] == name)
        await self.publish([instance | {"leaving": leaving}])

    async def set_platform_faults(self, **faults) -> None:
        """Set faults of the stand-in platform."""
        await self.post("platform", "/faults", faults)

    async def set_worker_faults(self, name: str, **faults) -> None:
        """Set faults of one stand-in worker."""
        await self.post(name, f"/workers/{name}/faults", faults)

    async def set_runner_faults(self, name: str, **faults) -> None:
        """Set faults of one stand-in runner."""
        await self.post(name, "/faults", faults)

    async def confirm_intent(self, name: str, intent: dict) -> dict:
        """Plan and confirm an intent at an instance."""
        planned = (await self.post(name, "/v1/plans", intent)).json()
        path = f"/v1/plans/{planned['plan_id']}/confirm"
        return (await self.post(name, path)).json()

    async def send_request(self, name: str, body: dict, **headers) -> "Answer":
        """Send a caller's request to an instance."""
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        return await self.post(name, f"/v1/services/{SERVICE}/run", body, named)

    async def read_executions(self, halls=None) -> list[dict]:
        """Return the executions of all runners."""
        found: list[dict] = []
        for hall in halls or self.shape.halls:
            for runner in self.get_runners(hall):
                found += (await self.get(runner, "/journal")).json()
        return found

    async def read_journal(self, hall: str) -> list[dict]:
        """Return the task journal of a hall's workers."""
        return (await self.get(f"{hall}-workers", "/journal")).json()

    async def wait_for_job_state(
        self, name: str, job: str, state: str = "ended"
    ) -> dict:
        """Wait until a job is in a state and return it."""
        job_status: dict = {}

        async def has_state() -> bool:
            nonlocal job_status
            job_status = (await self.get(name, f"/v1/jobs/{job}")).json()
            return job_status.get("state") == state

        await wait_for(has_state, f"{job} is {state}", timeout_s=90.0)
        return job_status

    async def find_owner(self, hall: str, others: tuple[str, ...] = ()) -> str:
        """Wait until a live instance, none of ``others``, owns a hall."""
        owner = ""

        async def has_owner() -> bool:
            nonlocal owner
            for name in self.get_instances(hall):
                if name not in others and await self._owns_hall(name):
                    owner = name
            return bool(owner)

        await wait_for(has_owner, f"{hall} has an owner")
        return owner

    async def _owns_hall(self, name: str) -> bool:
        process = self.processes[name]
        if process.handle.returncode is not None or process.frozen:
            return False
        return (await self.read_metric(name, "larkhoist_owner_epoch")) > 0

    async def read_metric(self, name: str, metric: str) -> float:
        """Return one metric of an instance, or 0 if it is absent."""
        page = (await self.get(name, "/metrics")).body.decode()
        for line in page.splitlines():
            if line.startswith((f"{metric} ", f"{metric}{{")):
                return float(line.split()[-1])
        return 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Response of a process."""

    status: int
    body: bytes
    headers: dict

    def json(self):
        """Return the body as decoded JSON."""
        return json.loads(self.body)

    @property
    def code(self) -> int:
        """Return the result code of the answer."""
        return int(self.headers.get("Larkhoist-Code", "0"))


async def wait_for(is_true, what: str, timeout_s: float = START_TIMEOUT_S) -> float:
    """Wait until a coroutine function returns true; return the seconds it took."""
    began_s = time.monotonic()
    while not await is_true():
        if time.monotonic() - began_s > timeout_s:
            raise ProcessError(f"timed out after {timeout_s} s waiting for: {what}")
        await asyncio.sleep(0.05)
    return time.monotonic() - began_s


def create_cluster(
    shape: ClusterShape, daemon: str = "larkhoist.daemon.main"
) -> Cluster:
    """Return a cluster; start it before use and close it in any case.

    ``daemon`` is the module that runs as an instance.
    """
    return Cluster(shape, daemon)


def _get_root() -> str:
    return os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
