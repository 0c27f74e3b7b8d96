"""Forward channels on a loopback address, and cut them off without a reset."""

import asyncio

__all__ = ["Link"]

CHUNK = 65536


class Link:
    """Listening address that forwards to ``target``; while ``is_cut``, drops it all."""

    def __init__(self, target: str):
        self.address = ""
        self.is_cut = False
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and drop all channels."""
        self._server.close()
        self.reset()

    def mend(self) -> None:
        """End the cut; channels that have lost bytes are reset."""
        self.is_cut = False
        self.reset()

    def reset(self) -> None:
        """Reset all channels."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _forward(self, reader, writer) -> None:
        host, _, port = self._target.rpartition(":")
        self._writers.add(writer)
        other = None
        try:
            far_reader, other = await asyncio.open_connection(host, int(port))
            self._writers.add(other)
            await asyncio.gather(
                self._pump(reader, other), self._pump(far_reader, writer)
            )
        except OSError:
            pass
        finally:
            for one in (writer, other):
                if one is not None:
                    self._writers.discard(one)
                    one.transport.abort()

    async def _pump(self, reader, writer) -> None:
        while chunk := await reader.read(CHUNK):
            if not self.is_cut:
                writer.write(chunk)
                await writer.drain()
        writer.transport.abort()
