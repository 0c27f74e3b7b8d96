"""Define the interface to an upstream: one send, one result."""

from dataclasses import dataclass
from typing import Protocol

from larkhoist.codes import Code

__all__ = ["SendRequest", "SendResult", "UpstreamPort"]


@dataclass(frozen=True, slots=True)
class SendRequest:
    """One request.

    ``timeout_s`` covers the time from connect to the last byte. ``reuse_connection``
    permits an open connection to be used again.
    """

    address: str
    path: str
    body: bytes
    content_type: str
    request_id: str
    trace_parent: str
    timeout_s: float
    reuse_connection: bool
    max_answer_bytes: int


@dataclass(frozen=True, slots=True)
class SendResult:
    """Result of one send.

    ``code`` is ``ANSWERED``, a *not run* code if no byte can have reached the
    upstream or the upstream answered that it did not run the request, or an *unknown*
    code.
    """

    code: Code
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    retry_after_s: float | None = None


class UpstreamPort(Protocol):
    """Client that sends requests to upstreams."""

    async def send(self, request: SendRequest) -> SendResult:
        """Send the request once, without retries."""
