"""Check that an upstream's refusal counts only for the request that it names.

On a reused connection, a late or duplicate refusal of the first request can arrive as
the answer to the second one, which runs. If ``Larkhoist-Not-Run`` is read before the
request ids are compared, the second request counts as not run and may be sent again
although it is not repeatable.
"""

import asyncio
import contextlib

import pytest

from larkhoist.adapters.upstream import create_upstream
from larkhoist.codes import Code, is_not_run
from larkhoist.ports.upstream import SendRequest

REFUSAL = "Larkhoist-Not-Run: 1"


def make_answer(request_id: str, *more: str) -> bytes:
    head = ["HTTP/1.1 200 OK", "Content-Length: 2", *more]
    if request_id:
        head.append(f"Larkhoist-Request-Id: {request_id}")
    return "\r\n".join([*head, "", "ok"]).encode()


def make_request(address: str, request_id: str, reuse: bool) -> SendRequest:
    return SendRequest(
        address=address,
        path="/",
        body=b"x",
        content_type="text/plain",
        request_id=request_id,
        trace_parent="00-0-0-00",
        timeout_s=2.0,
        reuse_connection=reuse,
        max_answer_bytes=100,
    )


async def read_request(reader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    await reader.readexactly(length)


@contextlib.asynccontextmanager
async def open_server(*answers: bytes):
    """Yield the address of a server that answers each connection's requests in turn."""

    async def answer_calls(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for answer in answers:
                await read_request(reader)
                writer.write(answer)
                await writer.drain()
            await reader.read()
        writer.close()

    server = await asyncio.start_server(answer_calls, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


async def send(address: str, reuse: bool, *request_ids: str):
    upstream = create_upstream()
    await upstream.start()
    results = [
        await upstream.send(make_request(address, request_id, reuse))
        for request_id in request_ids
    ]
    await upstream.close()
    return results


@pytest.mark.parametrize("named", ["first", ""])
async def test_a_refusal_of_another_request_is_not_taken_for_this_one(named):
    # The second request runs, but a refusal that doesn't name it precedes its answer.
    late = make_answer(named, REFUSAL) + make_answer("second")
    async with open_server(make_answer("first"), late) as address:
        first, second = await send(address, True, "first", "second")
    assert first.status == 200
    assert second.code is Code.ANSWER_MISMATCH
    assert not is_not_run(second.code)


async def test_a_refusal_of_another_request_on_a_new_connection_is_no_refusal():
    async with open_server(make_answer("other", REFUSAL)) as address:
        (result,) = await send(address, False, "first")
    assert result.code is Code.ANSWER_MISMATCH


@pytest.mark.parametrize(("reuse", "named"), [(True, "a"), (False, "a"), (False, "")])
async def test_a_refusal_of_this_request_counts(reuse, named):
    # A new connection carries only one request, so its refusal need not name it.
    refusal = make_answer(named, REFUSAL, "Retry-After: 3")
    async with open_server(refusal) as address:
        (result,) = await send(address, reuse, "a")
    assert result.code is Code.UPSTREAM_REFUSED
    assert result.retry_after_s == 3.0
