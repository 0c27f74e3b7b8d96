"""Serve stand-ins for the runners of a service: slots, connections, and faults.

Each runner listens on its own port. The body of a request is JSON and may hold
``work_ms`` and ``marker``; every execution is written to a journal.
"""

import argparse
import asyncio
import time

import msgspec
from aiohttp import web

from larkhoist.adapters.upstream import NOT_RUN_HEADER, REQUEST_ID_HEADER
from standins.serving import serve_forever, start_site

__all__ = ["Execution", "StandInRunner", "UpstreamFaults", "create_app"]


class UpstreamFaults(msgspec.Struct):
    """Faults to inject; integers count how often a fault still applies."""

    reset_before_run: int = 0
    reset_after_run: int = 0
    truncate: int = 0
    double: int = 0
    refuse: int = 0
    extra_ms: float = 0
    echo: bool = False


class Execution(msgspec.Struct, frozen=True):
    """One execution of a request; times are monotonic, in seconds."""

    runner: str
    marker: str
    began_s: float
    ended_s: float


class StandInRunner:
    """Runner with a limited number of slots and connections."""

    def __init__(self, name: str, slots: int, connections: int):
        self.name = name
        self.connections = connections
        self.faults = UpstreamFaults()
        self.executions: list[Execution] = []
        self.received = 0
        self.in_flight = 0
        self._slots = asyncio.Semaphore(slots)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Run one request and answer it, subject to the injected faults."""
        self.received += 1
        if self._consume_fault("refuse") or self.in_flight >= self.connections:
            headers = {NOT_RUN_HEADER: "1", "Retry-After": "1", **self._echo(request)}
            return web.Response(status=503, headers=headers)
        if self._consume_fault("reset_before_run"):
            request.transport.abort()
            return web.Response()
        body = msgspec.json.decode(await request.read() or b"{}")
        self.in_flight += 1
        try:
            await self._run(body)
        finally:
            self.in_flight -= 1
        return await self._answer(request, body)

    async def _run(self, body: dict) -> None:
        async with self._slots:
            began_s = time.monotonic()
            work_ms = body.get("work_ms", 5) + self.faults.extra_ms
            marker = str(body.get("marker", ""))
            await asyncio.sleep(work_ms / 1000)
            self.executions.append(
                Execution(self.name, marker, began_s, time.monotonic())
            )

    async def _answer(self, request: web.Request, body: dict) -> web.StreamResponse:
        if self._consume_fault("reset_after_run"):
            request.transport.abort()
            return web.Response()
        answer = msgspec.json.encode(
            {"runner": self.name, "marker": body.get("marker", "")}
        )
        headers = self._echo(request)
        if self._consume_fault("truncate"):
            response = web.StreamResponse(headers=headers)
            response.content_length = len(answer)
            await response.prepare(request)
            await response.write(answer[: len(answer) // 2])
            request.transport.abort()
            return response
        response = web.Response(
            body=answer, headers=headers, content_type="application/json"
        )
        if self._consume_fault("double"):
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, self._write_duplicate, request.transport, answer)
        return response

    def _echo(self, request: web.Request) -> dict[str, str]:
        if not self.faults.echo or REQUEST_ID_HEADER not in request.headers:
            return {}
        return {REQUEST_ID_HEADER: request.headers[REQUEST_ID_HEADER]}

    def _write_duplicate(self, transport, answer: bytes) -> None:
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n"
        if transport is not None and not transport.is_closing():
            transport.write(head.encode() + answer)

    def _consume_fault(self, name: str) -> bool:
        remaining = getattr(self.faults, name)
        if remaining > 0:
            setattr(self.faults, name, remaining - 1)
        return remaining > 0


def create_app(runner: StandInRunner) -> web.Application:
    """Return the web application of one runner."""

    async def put_faults(request: web.Request) -> web.Response:
        changes = msgspec.json.decode(await request.read())
        merged = msgspec.structs.asdict(runner.faults) | changes
        runner.faults = msgspec.convert(merged, UpstreamFaults)
        return web.json_response(merged)

    async def get_journal(_: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(runner.executions))

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(
        [
            web.post("/faults", put_faults),
            web.get("/journal", get_journal),
            web.post("/{path:.*}", runner.handle),
        ]
    )
    return app


def main() -> None:
    """Serve stand-in runners, one port each from ``--port`` upwards."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--names", required=True, help="names joined by commas")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--echo", action="store_true")
    arguments = parser.parse_args()

    async def start():
        sites = []
        for index, name in enumerate(arguments.names.split(",")):
            runner = StandInRunner(name, arguments.slots, arguments.connections)
            runner.faults.echo = arguments.echo
            port = arguments.port + index if arguments.port else 0
            sites.append(await start_site(create_app(runner), "127.0.0.1", port))
        return sites

    serve_forever(start)


if __name__ == "__main__":
    main()
