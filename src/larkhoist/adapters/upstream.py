"""Send requests to upstreams over HTTP and track whether they may have been sent.

Requests are always sent as POST, which the HTTP library never retries by itself. A
trace hook records when a connection is assigned to the request: before that, no byte
of it can have been sent.
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
    """Whether any byte of the request may have been sent."""

    may_have_sent: bool = False


class HttpUpstream:
    """A sender of requests over HTTP.

    Connections are reused only for services whose upstreams return the request id:
    without it, a duplicate answer on a connection would be taken for the answer to the
    next request.
    """

    def __init__(self):
        self._single_use: aiohttp.ClientSession | None = None
        self._keep_alive: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP sessions."""
        self._single_use = _open_session(force_close=True)
        self._keep_alive = _open_session(force_close=False)

    async def close(self) -> None:
        """Close the HTTP sessions."""
        for session in (self._single_use, self._keep_alive):
            if session is not None:
                await session.close()

    async def send(self, request: SendRequest) -> SendResult:
        """Send the request once and return the result."""
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
        session = self._keep_alive if request.reuse_connection else self._single_use
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
    """Return a sender; call ``start`` before use."""
    return HttpUpstream()


def _open_session(force_close: bool) -> aiohttp.ClientSession:
    async def mark_may_have_sent(_, context: SimpleNamespace, __) -> None:
        context.trace_request_ctx.may_have_sent = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(mark_may_have_sent)
    trace.on_connection_reuseconn.append(mark_may_have_sent)
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=MAX_CONNECTIONS_PER_UPSTREAM, force_close=force_close
    )
    return aiohttp.ClientSession(
        connector=connector, trace_configs=[trace], auto_decompress=False
    )


async def _read_answer(
    response: aiohttp.ClientResponse, request: SendRequest
) -> SendResult:
    is_delimited = response.content_length is not None or (
        "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )
    returned_id = response.headers.get(REQUEST_ID_HEADER)
    if returned_id != request.request_id and (request.reuse_connection or returned_id):
        response.close()
        return SendResult(Code.ANSWER_MISMATCH)
    # After the check of the id: this may be the refusal of another request.
    if response.headers.get(NOT_RUN_HEADER) == "1":
        retry_after_s = _get_retry_after(response)
        return SendResult(Code.UPSTREAM_REFUSED, retry_after_s=retry_after_s)
    if not is_delimited:
        # Its end cannot be distinguished from a broken connection.
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
