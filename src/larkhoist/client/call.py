"""Call an instance and return its reply."""

from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.problem import Problem

__all__ = ["Reply", "call_instance"]

TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Reply:
    """The body of a successful call, as decoded JSON."""

    body: Any


async def call_instance(
    method: str, server: str, path: str, text: str = ""
) -> Result[Reply, list[Problem]]:
    """Call ``path`` at ``server``, an IP address with a port.

    ``text`` is the body. Returns the reply, or every problem that was reported.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, f"http://{server}{path}", data=text) as response,
        ):
            data = await response.read()
    except aiohttp.ClientConnectorError:
        return Failure([_make_unreachable_problem(Code.CONNECT_FAILED, server)])
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Failure([_make_unreachable_problem(Code.CONNECTION_LOST, server)])
    return _read_reply(data)


def _read_reply(data: bytes) -> Result[Reply, list[Problem]]:
    try:
        body = msgspec.json.decode(data)
    except msgspec.DecodeError:
        text = data[:200].decode(errors="replace")
        return Failure([Problem(Code.NOT_PARSABLE, detail=text)])
    if not isinstance(body, dict) or "problems" not in body:
        return Success(Reply(body))
    return Failure(
        [
            Problem(
                Code(item["code"]),
                item.get("detail", ""),
                item.get("field", ""),
                item.get("value", ""),
                item.get("remedy", ""),
                item.get("retry_after_s"),
            )
            for item in body["problems"]
        ]
    )


def _make_unreachable_problem(code: Code, server: str) -> Problem:
    remedy = "name an instance that runs with --server"
    return Problem(code, field="server", value=server, remedy=remedy)
