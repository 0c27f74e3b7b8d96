"""Reuse connections whether or not answers carry the request's id."""

from dataclasses import replace

from larkhoist.adapters import upstream
from larkhoist.daemon.main import main

_exchange = upstream.HttpUpstream._exchange
_read_answer = upstream._read_answer


async def exchange_on_used_connection(self, request, progress):
    """Send the request over a reused connection if there is one."""
    return await _exchange(self, replace(request, reuse_connection=True), progress)


async def read_any_answer(response, request):
    """Read the answer without checking the request's id."""
    returned = response.headers.get(upstream.REQUEST_ID_HEADER, "")
    unchecked = replace(request, request_id=returned, reuse_connection=False)
    return await _read_answer(response, unchecked)


upstream.HttpUpstream._exchange = exchange_on_used_connection
upstream._read_answer = read_any_answer

if __name__ == "__main__":
    main()
