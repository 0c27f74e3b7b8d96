"""One channel of a consumer that stays open between its calls."""

import asyncio
import json

from fakes.client import HOST, KEY

__all__ = ["Channel", "NoAnswerError"]


class NoAnswerError(Exception):
    """The channel ended without a whole answer.

    ``was_reset`` tells that it was reset, as it is if the other side has not read all
    bytes that were sent.
    """

    def __init__(self, was_reset: bool):
        super().__init__()
        self.was_reset = was_reset


class Channel:
    """An HTTP connection that is never opened again."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "Channel":
        """Return an open channel to an address."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def close(self) -> None:
        """Close the channel."""
        self._writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the other side closes the channel."""
        try:
            await self._reader.read()
        except OSError:
            pass

    async def call(self, method: str, path: str, body: dict | None = None) -> int:
        """Send a request and return the status; raise ``NoAnswerError`` without one."""
        sent = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Bearer {KEY}\r\nDeadline-Ms: 3000\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(sent)}\r\n\r\n"
        )
        try:
            self._writer.write(head.encode() + sent)
            await self._writer.drain()
            lines = (await self._reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
            length = 0
            for line in lines:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            await self._reader.readexactly(length)
        except asyncio.IncompleteReadError:
            raise NoAnswerError(was_reset=False) from None
        except OSError:
            raise NoAnswerError(was_reset=True) from None
        return int(lines[0].split()[1])
