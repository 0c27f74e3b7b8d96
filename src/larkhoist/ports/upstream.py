"""State what the system needs from an upstream: one send, one result."""

from dataclasses import dataclass
from typing import Protocol

from larkhoist.codes import Code

__all__ = ["SendRequest", "SendResult", "UpstreamPort"]


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Hold what one send needs; ``timeout_s`` covers connect to last byte."""

    address: str
    path: str
    body: bytes
    content_type: str
    request_id: str
    trace_parent: str
    timeout_s: float
    reuse: bool
    max_answer_bytes: int


@dataclass(frozen=True, slots=True)
class SendResult:
    """Hold how one send ended.

    ``code`` is ``ANSWERED``, a *not run* code where no byte can have reached the
    upstream or the upstream said so itself, or an *unknown* code.
    """

    code: Code
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    retry_after_s: float | None = None


class UpstreamPort(Protocol):
    """Send requests to upstreams."""

    async def send(self, request: SendRequest) -> SendResult:
        """Send once; never send the same request a second time."""
