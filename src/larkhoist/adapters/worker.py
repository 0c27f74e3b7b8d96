"""Call workers over HTTP."""

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.ports.worker import (
    CommandReply,
    CommandRequest,
    LeaseReply,
    LeaseRequest,
)
from larkhoist.problem import Problem

__all__ = ["HttpWorker", "create_worker"]


class HttpWorker:
    """One worker; the HTTP session is shared and owned by the caller."""

    def __init__(self, session: aiohttp.ClientSession, address: str, name: str):
        self._session = session
        self._url = f"http://{address}/workers/{name}"

    async def lease(
        self, request: LeaseRequest, timeout_s: float = 1.0
    ) -> Result[LeaseReply, Problem]:
        """Acquire or renew the lease on the worker."""
        return await self._post("lease", request, LeaseReply, timeout_s)

    async def command(
        self, request: CommandRequest, timeout_s: float = 1.0
    ) -> Result[CommandReply, Problem]:
        """Have the worker execute commands in order."""
        return await self._post("commands", request, CommandReply, timeout_s)

    async def _post(self, verb, request, reply_type, timeout_s):
        body = msgspec.json.encode(request)
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.post(
                f"{self._url}/{verb}", data=body, timeout=timeout
            ) as response:
                data = await response.read()
            if response.status != 200:
                return Failure(Problem(Code.CONNECTION_LOST, f"{response.status}"))
            return Success(msgspec.json.decode(data, type=reply_type))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(Problem(Code.CONNECTION_LOST, detail=repr(error)))


def create_worker(
    session: aiohttp.ClientSession, address: str, name: str
) -> HttpWorker:
    """Return the worker ``name`` at ``address``, an IP address with a port."""
    return HttpWorker(session, address, name)
