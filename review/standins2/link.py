"""Stand in for the path between one instance and the store: a proxy that can be cut."""

import asyncio
import contextlib

__all__ = ["Link"]


class Link:
    """A TCP proxy; while it is cut, no bytes pass and no connection is answered.

    Bytes that were held up are lost when their sender closes the connection.
    """

    def __init__(self, target: str):
        self._target = target
        self._passes = asyncio.Event()
        self._passes.set()
        self._server: asyncio.Server | None = None
        self._pipes: set[asyncio.Task] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for pipe in self._pipes:
            pipe.cancel()
        if self._pipes:
            await asyncio.wait(self._pipes)

    def cut(self) -> None:
        """Let nothing pass from now on."""
        self._passes.clear()

    def mend(self) -> None:
        """Let everything pass again."""
        self._passes.set()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._pipes.add(task)
        task.add_done_callback(self._pipes.discard)
        host, port = self._target.split(":")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            try:
                await asyncio.gather(
                    self._pump(reader, far_writer), self._pump(far_reader, writer)
                )
            finally:
                far_writer.close()
        writer.close()

    async def _pump(self, reader, writer) -> None:
        while data := await reader.read(65536):
            while not self._passes.is_set():
                if reader.at_eof():
                    raise ConnectionResetError
                await asyncio.sleep(0.01)
            writer.write(data)
            await writer.drain()
        writer.close()
