"""Meet upstreams over HTTP, with an exact account of what may have been sent.

Requests always go out as POST, which the HTTP library never sends again by
itself. A trace hook notes the moment at which a connection is handed over: until
then no byte of the request can have left.
"""

from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp

from larkhoist.codes import Code
from larkhoist.ports.upstream import SendRequest, SendResult

__all__ = ["HttpUpstream", "NOT_RUN_HEADER", "REQUEST_ID_HEADER", "create_upstream"]

NOT_RUN_HEADER = "Larkhoist-Not-Run"
REQUEST_ID_HEADER = "Larkhoist-Request-Id"
CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS_PER_UPSTREAM = 64


@dataclass(slots=True)
class _SendProgress:
    """Tell whether a byte of the request may have left."""

    may_have_sent: bool = False


class HttpUpstream:
    """Send requests over HTTP.

    Connections are used again only for services whose upstreams return the
    request id: without it, an answer that comes twice on one connection would
    be taken for the answer to the next request.
    """

    def __init__(self):
        self._fresh: aiohttp.ClientSession | None = None
        self._reusing: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP sessions."""
        self._fresh = _open_session(force_close=True)
        self._reusing = _open_session(force_close=False)

    async def close(self) -> None:
        """Close the HTTP sessions."""
        for session in (self._fresh, self._reusing):
            if session is not None:
                await session.close()

    async def send(self, request: SendRequest) -> SendResult:
        """Send once and return how it ended."""
        progress = _SendProgress()
        try:
            return await self._exchange(request, progress)
        except TimeoutError:
            code = Code.TIMED_OUT
        except aiohttp.ClientPayloadError:
            code = Code.ANSWER_INCOMPLETE
        except (aiohttp.ClientError, OSError, ValueError):
            code = Code.CONNECTION_LOST
        if not progress.may_have_sent:
            code = Code.CONNECT_FAILED
        return SendResult(code)

    async def _exchange(
        self, request: SendRequest, progress: _SendProgress
    ) -> SendResult:
        session = self._reusing if request.reuse else self._fresh
        headers = {
            "Content-Type": request.content_type,
            REQUEST_ID_HEADER: request.request_id,
            "traceparent": request.trace_parent,
        }
        timeout = aiohttp.ClientTimeout(
            total=request.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        async with session.post(
            f"http://{request.address}{request.path}",
            data=request.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            return await _read_answer(response, request)


def create_upstream() -> HttpUpstream:
    """Return a sender; start it before use."""
    return HttpUpstream()


def _open_session(force_close: bool) -> aiohttp.ClientSession:
    async def note_connection(_, context: SimpleNamespace, __) -> None:
        context.trace_request_ctx.may_have_sent = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(note_connection)
    trace.on_connection_reuseconn.append(note_connection)
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=MAX_CONNECTIONS_PER_UPSTREAM, force_close=force_close
    )
    return aiohttp.ClientSession(
        connector=connector, trace_configs=[trace], auto_decompress=False
    )


async def _read_answer(
    response: aiohttp.ClientResponse, request: SendRequest
) -> SendResult:
    has_end = response.content_length is not None or (
        "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )
    returned_id = response.headers.get(REQUEST_ID_HEADER)
    if returned_id != request.request_id and (request.reuse or returned_id):
        response.close()
        return SendResult(Code.ANSWER_MISMATCH)
    # Only now: a refusal of another request says nothing of this one.
    if response.headers.get(NOT_RUN_HEADER) == "1":
        retry_after_s = _get_retry_after(response)
        return SendResult(Code.UPSTREAM_REFUSED, retry_after_s=retry_after_s)
    if not has_end:
        # The end of such an answer cannot be told from a cut.
        response.close()
        return SendResult(Code.ANSWER_INCOMPLETE)
    if (response.content_length or 0) > request.max_answer_bytes:
        response.close()
        return SendResult(Code.ANSWER_INCOMPLETE)
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > request.max_answer_bytes:
            response.close()
            return SendResult(Code.ANSWER_INCOMPLETE)
    return SendResult(
        Code.ANSWERED,
        status=response.status,
        body=bytes(body),
        content_type=response.headers.get("Content-Type", "application/octet-stream"),
    )


def _get_retry_after(response: aiohttp.ClientResponse) -> float | None:
    try:
        return float(response.headers["Retry-After"])
    except (KeyError, ValueError):
        return None
