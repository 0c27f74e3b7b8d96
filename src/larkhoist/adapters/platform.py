"""Call the platform over HTTP."""

import base64

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.ports.platform import InstanceList, LogEntry, LogPage
from larkhoist.problem import Problem

__all__ = ["HttpPlatform", "create_platform"]

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
_NETWORK_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class _WireEntry(msgspec.Struct):
    offset: int
    data: str


class _WirePage(msgspec.Struct):
    oldest: int
    end: int
    entries: list[_WireEntry]


class _WireAppend(msgspec.Struct):
    offset: int


class HttpPlatform:
    """The platform's log and instance list over one HTTP session."""

    def __init__(self, url: str, instance: str):
        self._url = url
        self._instance = instance
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(headers={"User-Agent": self._instance})

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def append(self, stream: str, data: bytes) -> Result[int, Problem]:
        """Append ``data`` as one entry and return its offset.

        Fails with ``LOG_UNAVAILABLE`` if nothing was appended and ``APPEND_UNKNOWN`` if
        the entry may have been appended.
        """
        url = f"{self._url}/streams/{stream}/append"
        try:
            async with self._session.post(
                url, data=data, timeout=_make_timeout(CALL_TIMEOUT_S)
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(Problem(Code.LOG_UNAVAILABLE, detail=str(error)))
        except _NETWORK_ERRORS as error:
            return Failure(Problem(Code.APPEND_UNKNOWN, detail=repr(error)))
        if response.status in (429, 503):
            return Failure(Problem(Code.LOG_UNAVAILABLE, detail=f"{response.status}"))
        if response.status != 200:
            return Failure(Problem(Code.APPEND_UNKNOWN, detail=f"{response.status}"))
        return Success(msgspec.json.decode(body, type=_WireAppend).offset)

    async def read(
        self, stream: str, from_offset: int, wait_s: float
    ) -> Result[LogPage, Problem]:
        """Read from an offset, waiting up to ``wait_s`` for a first entry."""
        url = f"{self._url}/streams/{stream}/read"
        query = {"from": str(from_offset), "wait_ms": str(int(wait_s * 1000))}
        match await self._get(url, query, wait_s + CALL_TIMEOUT_S):
            case Success(body):
                return Success(_decode_page(body))
            case failure:
                return failure

    async def list_instances(self) -> Result[InstanceList, Problem]:
        """Return the platform's instance list."""
        match await self._get(f"{self._url}/instances", {}, CALL_TIMEOUT_S):
            case Success(body):
                return Success(msgspec.json.decode(body, type=InstanceList))
            case failure:
                return failure

    async def _get(self, url, query, timeout_s) -> Result[bytes, Problem]:
        try:
            async with self._session.get(
                url, params=query, timeout=_make_timeout(timeout_s)
            ) as response:
                body = await response.read()
        except _NETWORK_ERRORS as error:
            return Failure(Problem(Code.LOG_UNAVAILABLE, detail=repr(error)))
        if response.status != 200:
            return Failure(Problem(Code.LOG_UNAVAILABLE, detail=f"{response.status}"))
        return Success(body)


def create_platform(url: str, instance: str) -> HttpPlatform:
    """Return the platform at ``url``; ``instance`` is sent as the user agent."""
    return HttpPlatform(url, instance)


def _make_timeout(total_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_TIMEOUT_S)


def _decode_page(body: bytes) -> LogPage:
    page = msgspec.json.decode(body, type=_WirePage)
    entries = tuple(
        LogEntry(entry.offset, base64.b64decode(entry.data)) for entry in page.entries
    )
    return LogPage(page.oldest, page.end, entries)
