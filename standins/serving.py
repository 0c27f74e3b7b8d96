"""Serve stand-ins in a process until it receives SIGTERM or SIGINT."""

import asyncio
import signal

import uvloop
from aiohttp import web

__all__ = ["serve_forever", "start_site"]


async def start_site(app: web.Application, address: str, port: int) -> web.AppRunner:
    """Serve ``app``; port 0 picks a free port, see ``runner.addresses``."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, address, port, backlog=1024).start()
    return runner


def serve_forever(start) -> None:
    """Call ``start``, print the ports, and close the runners on SIGTERM or SIGINT.

    ``start`` is a coroutine function that returns a list of ``web.AppRunner``.
    """

    async def run() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        runners = await start()
        print("ready", *(runner.addresses[0][1] for runner in runners), flush=True)
        await stopped.wait()
        for runner in runners:
            await runner.cleanup()

    uvloop.run(run())
