"""Stand in for consumers: calls of the job interface, the configuration, the record."""

import asyncio
import json
import time
from pathlib import Path

import aiohttp

from fakes.store import Store

__all__ = ["HOST", "KEY", "PREFIX", "Client", "Record", "put_configuration"]

HOST = "job.example"
PREFIX = "/queue/"
KEY = "key-of-ann"


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def __call__(self, event: str, **fields) -> None:
        """Write one line."""
        values = " ".join(f"{key}={value}" for key, value in fields.items())
        at_s = time.monotonic() - self._began_s
        self._file.write(f"{at_s:9.4f} {event} {values}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def put_configuration(store: Store, version: int, max_attempts: int = 2) -> None:
    """Write a configuration with one queue and one tenant."""
    route = {
        "name": "r-queue",
        "host": HOST,
        "path_prefix": PREFIX,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": "srv",
        "max_attempts": max_attempts,
        "extension": 3.0,
        "public": False,
    }
    configuration = {
        "version": version,
        "routes": [route],
        "services": [{"name": "srv", "preconditions": True}],
        "tenants": [{"name": "ann", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
        "limits": {"max_body_bytes": 262144},
    }
    await store.put("keyed.op", "config", configuration)


class Client:
    """Consumer that calls one instance at a time and records each call."""

    def __init__(self, record: Record):
        self._record = record
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0))

    async def close(self) -> None:
        """Close the channels."""
        await self._session.close()

    async def call(
        self, address: str, method: str, path: str, body: dict | None = None
    ) -> tuple[int, dict]:
        """Return status and answer of one call, status 0 without an answer."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "3000",
        }
        status, answer = 0, {}
        try:
            async with self._session.request(
                method, f"http://{address}{path}", json=body, headers=headers
            ) as response:
                text = await response.text()
                status, answer = response.status, json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer = {"error": repr(error)}
        self._record(
            "call",
            to=address,
            call=f"{method} {path}",
            status=status,
            answer=json.dumps(answer),
        )
        return status, answer

    async def submit(
        self, address: str, job_id: str, steps: list[dict], tries: int = 4
    ) -> bool:
        """Hand a job in, again if need be; return whether it was accepted."""
        for _ in range(tries):
            body = {"spec": job_id, "steps": steps}
            status, _ = await self.call(address, "POST", PREFIX + job_id, body)
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False
