"""Read a caller's request and check its headers."""

import uuid
from collections.abc import Container, Mapping
from dataclasses import dataclass

from aiohttp import web
from opentelemetry.trace import Span

from larkhoist.codes import Code
from larkhoist.log.objects import ServiceSpec
from larkhoist.problem import Problem
from larkhoist.requests.outcome import RequestLedger

__all__ = ["Call", "read_call"]

CUSTOMER_HEADER = "Larkhoist-Customer"
KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "Larkhoist-Repeatable"
DEADLINE_HEADER = "Larkhoist-Deadline-Ms"
MAX_KEY_LENGTH = 200


@dataclass(slots=True)
class Call:
    """A caller's request while this instance serves it.

    ``deadline_s`` and ``claimed_s`` are on the monotonic clock.
    """

    request_id: str
    service: ServiceSpec
    customer: str
    key: str
    repeatable: bool
    deadline_s: float
    body: bytes
    content_type: str
    path: str
    span: Span
    ledger: RequestLedger
    claim_id: str = ""
    claimed_s: float = 0.0


async def read_call(
    request: web.Request,
    services: Mapping[str, ServiceSpec],
    customers: Container[str],
    span: Span,
    now_s: float,
) -> Call | Problem:
    """Return the checked request, or the first problem found."""
    name = request.match_info["service"]
    service = services.get(name)
    if service is None:
        return Problem(Code.NOT_FOUND, field="service", value=name)
    customer = request.headers.get(CUSTOMER_HEADER, "")
    if customer not in customers:
        return _make_header_problem(CUSTOMER_HEADER, customer, "name a customer")
    repeatable = request.headers.get(REPEATABLE_HEADER, "yes").lower()
    if repeatable not in ("yes", "no"):
        return _make_header_problem(REPEATABLE_HEADER, repeatable, "yes or no")
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH or (repeatable == "no" and not key):
        return _make_header_problem(
            KEY_HEADER, key, f"1 to {MAX_KEY_LENGTH} characters"
        )
    deadline = request.headers.get(DEADLINE_HEADER, str(service.timeout_ms))
    if not deadline.isdigit() or int(deadline) == 0:
        return _make_header_problem(DEADLINE_HEADER, deadline, "milliseconds above 0")
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return Problem(Code.BODY_TOO_LARGE, field="body", remedy="send less")
    return Call(
        request_id=uuid.uuid4().hex,
        service=service,
        customer=customer,
        key=key,
        repeatable=repeatable == "yes",
        deadline_s=now_s + int(deadline) / 1000,
        body=body,
        content_type=request.content_type,
        path="/" + request.match_info["path"],
        span=span,
        ledger=RequestLedger(),
    )


def _make_header_problem(name: str, value: str, remedy: str) -> Problem:
    code = Code.INVALID_VALUE if value else Code.MISSING_FIELD
    return Problem(code, field=name, value=value[:MAX_KEY_LENGTH], remedy=remedy)
