"""Serve a stand-in for the platform: streams with offsets and an instance list.

Faults are set by ``POST /faults``; see ``PlatformFaults``.
"""

import argparse
import asyncio
import base64
import time

import msgspec
from aiohttp import web

from larkhoist.ports.platform import Instance, InstanceList
from standins.serving import serve_forever, start_site

__all__ = ["PlatformFaults", "StandInPlatform", "create_app"]


class PlatformFaults(msgspec.Struct):
    """Faults to inject, and the limits of the streams.

    ``lose_replies`` is the number of append replies that are still to be dropped.
    ``retention`` is the number of records that a stream keeps.
    """

    down: bool = False
    slow_ms: float = 0
    lose_replies: int = 0
    list_frozen: bool = False
    list_lag_ms: float = 0
    retention: int = 100_000
    appends_per_s: float = 100


class _Stream:
    def __init__(self):
        self.oldest = 0
        self.entries: list[bytes] = []
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return self.oldest + len(self.entries)

    def append(self, data: bytes, retention: int) -> int:
        self.entries.append(data)
        surplus = len(self.entries) - retention
        if surplus > 0:
            del self.entries[:surplus]
            self.oldest += surplus
        self.appended.set()
        self.appended = asyncio.Event()
        return self.end - 1


class StandInPlatform:
    """Streams and instance list in memory, subject to the injected faults."""

    def __init__(self):
        self.faults = PlatformFaults()
        self.streams: dict[str, _Stream] = {}
        self.instances: dict[tuple[str, str], Instance] = {}
        self.published_list = InstanceList()
        self.version = 0
        self.append_times: list[float] = []
        self.blocked_callers: set[str] = set()

    async def append(self, request: web.Request) -> web.Response:
        """Append the body as one record."""
        await self._apply_faults(request)
        now_s = time.monotonic()
        self.append_times = [at for at in self.append_times if at > now_s - 1]
        if len(self.append_times) >= self.faults.appends_per_s:
            raise web.HTTPTooManyRequests
        self.append_times.append(now_s)
        stream = self.streams.setdefault(request.match_info["stream"], _Stream())
        offset = stream.append(await request.read(), self.faults.retention)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            request.transport.abort()
        return web.json_response({"offset": offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset; wait up to ``wait_ms`` if there are none."""
        await self._apply_faults(request)
        stream = self.streams.setdefault(request.match_info["stream"], _Stream())
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= stream.end and wait_s > 0:
            try:
                await asyncio.wait_for(stream.appended.wait(), wait_s)
            except TimeoutError:
                pass
            await self._apply_faults(request)
        first = max(start, stream.oldest)
        records = stream.entries[first - stream.oldest :][:500]
        entries = [
            {"offset": first + index, "data": base64.b64encode(data).decode()}
            for index, data in enumerate(records)
        ]
        return web.json_response(
            {"oldest": stream.oldest, "end": stream.end, "entries": entries}
        )

    async def get_list(self, request: web.Request) -> web.Response:
        """Return the published instance list, which may be out of date."""
        await self._apply_faults(request)
        return web.Response(body=msgspec.json.encode(self.published_list))

    async def put_instances(self, request: web.Request) -> web.Response:
        """Add or replace instances on the list."""
        found = msgspec.json.decode(await request.read(), type=list[Instance])
        for instance in found:
            self.instances[(instance.kind, instance.name)] = instance
        self._publish()
        return web.json_response({"version": self.version})

    async def delete_instance(self, request: web.Request) -> web.Response:
        """Remove an instance from the list."""
        key = (request.match_info["kind"], request.match_info["name"])
        self.instances.pop(key, None)
        self._publish()
        return web.json_response({"version": self.version})

    async def put_faults(self, request: web.Request) -> web.Response:
        """Set the faults named in the body; leave the others unchanged."""
        changes = msgspec.json.decode(await request.read())
        merged = msgspec.structs.asdict(self.faults) | changes
        self.faults = msgspec.convert(merged, PlatformFaults)
        if not self.faults.list_frozen:
            self._publish()
        return web.json_response(msgspec.structs.asdict(self.faults))

    async def block_callers(self, request: web.Request) -> web.Response:
        """Block exactly the callers in the body, by User-Agent: they get status 503."""
        self.blocked_callers = set(msgspec.json.decode(await request.read()))
        return web.json_response(sorted(self.blocked_callers))

    def _publish(self) -> None:
        self.version += 1
        published_list = InstanceList(self.version, tuple(self.instances.values()))
        if self.faults.list_frozen:
            return
        if self.faults.list_lag_ms > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.faults.list_lag_ms / 1000, self._set_published_list, published_list
            )
        else:
            self._set_published_list(published_list)

    def _set_published_list(self, published_list: InstanceList) -> None:
        if (
            not self.faults.list_frozen
            and published_list.version > self.published_list.version
        ):
            self.published_list = published_list

    async def _apply_faults(self, request: web.Request) -> None:
        if request.headers.get("User-Agent") in self.blocked_callers:
            raise web.HTTPServiceUnavailable
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            raise web.HTTPServiceUnavailable


def create_app(platform: StandInPlatform) -> web.Application:
    """Return the web application of the stand-in platform."""
    app = web.Application(client_max_size=4 * 1024 * 1024)
    app.add_routes(
        [
            web.post("/streams/{stream}/append", platform.append),
            web.get("/streams/{stream}/read", platform.read),
            web.get("/instances", platform.get_list),
            web.post("/instances", platform.put_instances),
            web.delete("/instances/{kind}/{name}", platform.delete_instance),
            web.post("/faults", platform.put_faults),
            web.post("/cut", platform.block_callers),
        ]
    )
    return app


def main() -> None:
    """Serve the stand-in platform."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()

    async def start():
        app = create_app(StandInPlatform())
        return [await start_site(app, "127.0.0.1", arguments.port)]

    serve_forever(start)


if __name__ == "__main__":
    main()
