"""Serve callers: bring each request to one final outcome."""

import asyncio
import logging
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import xxhash
from aiohttp import web
from opentelemetry.trace import Span, Tracer

from larkhoist.codes import Code, is_not_run, is_unknown
from larkhoist.daemon.log_writer import LogWriter
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.metrics import Metrics
from larkhoist.daemon.replies import make_problem_response
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.daemon.tracing import get_parent, get_trace_id, get_trace_parent
from larkhoist.log.fold import get_claim
from larkhoist.log.objects import ServiceSpec
from larkhoist.log.records import ClaimMade, ClaimReleased
from larkhoist.ports.platform import Instance, InstanceList
from larkhoist.ports.upstream import SendRequest, SendResult, UpstreamPort
from larkhoist.problem import Problem
from larkhoist.requests.claim import (
    check_claim_age,
    decide_claim,
    describe_other_claim,
)
from larkhoist.requests.dispatcher import (
    Dispatcher,
    Queued,
    Refused,
    SendTo,
    create_dispatcher,
)
from larkhoist.requests.fair_queue import QueuedRequest
from larkhoist.requests.outcome import RequestLedger
from larkhoist.requests.policy import RequestPolicy

__all__ = ["EntryTask"]

_logger = logging.getLogger(__name__)
CUSTOMER_HEADER = "Larkhoist-Customer"
KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "Larkhoist-Repeatable"
DEADLINE_HEADER = "Larkhoist-Deadline-Ms"
MAX_KEY_LENGTH = 200
PUMP_INTERVAL_S = 0.05
DEFAULT_RETRY_AFTER_S = 1.0
OUTAGE_RETRY_AFTER_S = 2.0


@dataclass(slots=True)
class _Call:
    """Hold one request on its way through this instance."""

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


class EntryTask:
    """Own the dispatchers of all services and answer callers."""

    def __init__(
        self,
        instance: str,
        hall: str,
        keeper: StateKeeper,
        writer: LogWriter,
        upstream: UpstreamPort,
        policy: RequestPolicy,
        metrics: Metrics,
        tracer: Tracer,
        claim_wait_s: float,
        max_answer_bytes: int,
        check_serving: Callable[[], Problem | None],
    ):
        self._instance = instance
        self._hall = hall
        self._keeper = keeper
        self._writer = writer
        self._upstream = upstream
        self._policy = policy
        self._metrics = metrics
        self._tracer = tracer
        self._claim_wait_s = claim_wait_s
        self._max_answer_bytes = max_answer_bytes
        self._check_serving = check_serving
        self._dispatchers: dict[str, Dispatcher] = {}
        self._addresses: dict[str, str] = {}
        self._waiting: dict[str, asyncio.Future] = {}
        self._task: asyncio.Task | None = None
        self.in_flight = 0

    async def start(self) -> None:
        """Begin to refuse requests at their deadlines."""
        self._task = asyncio.create_task(self._pump_forever())

    async def close(self) -> None:
        """Stop the task; requests must have ended before."""
        await cancel_tasks([self._task])

    async def drain(self, timeout_s: float) -> bool:
        """Wait until no request is under way; return False at the time-out."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while self.in_flight and loop.time() < end_s:
            await asyncio.sleep(PUMP_INTERVAL_S)
        return self.in_flight == 0

    # Membership and load.

    def take_list(self, listed: InstanceList) -> None:
        """Take over the upstreams of this hall."""
        now_s = asyncio.get_running_loop().time()
        near = {
            i.name: i
            for i in listed.instances
            if i.kind == "upstream" and i.hall == self._hall
        }
        for dispatcher in self._dispatchers.values():
            for name in set(dispatcher.upstreams.names()) - near.keys():
                dispatcher.upstreams.remove(name)
        for upstream in near.values():
            self._put_upstream(upstream, now_s)

    def take_loads(self, remote: dict[str, int], ceilings: dict[str, int]) -> None:
        """Take over the peers' requests in flight and the hall's slot ceilings."""
        now_s = asyncio.get_running_loop().time()
        for dispatcher in self._dispatchers.values():
            for name in dispatcher.upstreams.names():
                dispatcher.upstreams.set_remote(name, remote.get(name, 0), now_s)
                if name in ceilings:
                    dispatcher.upstreams.set_ceiling(name, ceilings[name], now_s)

    def get_in_flight(self) -> dict[str, int]:
        """Return this instance's requests in flight by upstream."""
        counts: dict[str, int] = {}
        for dispatcher in self._dispatchers.values():
            counts.update(dispatcher.upstreams.get_own())
        return counts

    def count_waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(len(d.queue) for d in self._dispatchers.values())

    def count_upstreams(self) -> int:
        """Return how many upstreams there are."""
        return len(self._addresses)

    def count_ejected(self) -> int:
        """Return how many upstreams are ejected."""
        return sum(d.upstreams.count_ejected() for d in self._dispatchers.values())

    def _put_upstream(self, upstream: Instance, now_s: float) -> None:
        dispatcher = self._get_dispatcher(upstream.service)
        self._addresses[upstream.name] = upstream.address
        if upstream.leaving:
            dispatcher.upstreams.set_leaving(upstream.name, now_s)
        else:
            dispatcher.upstreams.put(upstream.name, upstream.slots, now_s)

    def _get_dispatcher(self, service: str) -> Dispatcher:
        if service not in self._dispatchers:
            self._dispatchers[service] = create_dispatcher(self._policy)
        return self._dispatchers[service]

    # One request.

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one caller's request."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        parent = get_parent(request.headers.get("traceparent", ""))
        self.in_flight += 1
        try:
            with self._tracer.start_as_current_span("entry", context=parent) as span:
                response, code = await self._answer(request, span, began_s)
                span.set_attribute("code", int(code))
                self._finish_headers(response, code, span)
                return response
        finally:
            self.in_flight -= 1

    async def _answer(self, request, span, began_s) -> tuple[web.Response, Code]:
        call = await self._read_call(request, span, began_s)
        if isinstance(call, Problem):
            return make_problem_response(call), call.code
        try:
            result, problem = await self._serve(call)
        except asyncio.CancelledError:
            may_have_run = call.ledger.may_have_run
            code = Code.CALLER_GONE if may_have_run else Code.CALLER_GONE_EARLY
            self._count(call, code, began_s)
            raise
        code = problem.code if problem is not None else result.code
        self._count(call, code, began_s)
        if problem is not None:
            return make_problem_response(problem), code
        response = web.Response(status=result.status, body=result.body)
        response.headers["Content-Type"] = result.content_type
        return response, code

    def _count(self, call: _Call, code: Code, began_s: float) -> None:
        seconds = asyncio.get_running_loop().time() - began_s
        self._metrics.count_request(int(code), seconds)
        level = logging.DEBUG if code is Code.ANSWERED else logging.INFO
        log_event(
            _logger,
            "request",
            level,
            code=int(code),
            request=call.request_id,
            trace=get_trace_id(call.span),
            service=call.service.name,
            customer=call.customer,
            sends=call.ledger.sends,
            ms=round(seconds * 1000, 1),
        )

    def _finish_headers(self, response: web.Response, code: Code, span) -> None:
        outcome = "answer"
        if is_not_run(code):
            outcome = "not-run"
        elif is_unknown(code):
            outcome = "unknown"
        elif code is not Code.ANSWERED:
            outcome = "refused"
        response.headers["Larkhoist-Code"] = str(int(code))
        response.headers["Larkhoist-Outcome"] = outcome
        response.headers["Larkhoist-Trace-Id"] = get_trace_id(span)
        response.headers["traceparent"] = get_trace_parent(span)

    async def _read_call(self, request, span, now_s) -> _Call | Problem:
        problem = self._check_serving()
        if problem is not None:
            return problem
        name = request.match_info["service"]
        service = self._keeper.state.services.get(name)
        if service is None:
            return Problem(Code.NOT_FOUND, field="service", value=name)
        customer = request.headers.get(CUSTOMER_HEADER, "")
        if customer not in self._keeper.state.customers:
            return _describe_header(CUSTOMER_HEADER, customer, "name a customer")
        repeatable = request.headers.get(REPEATABLE_HEADER, "yes").lower()
        if repeatable not in ("yes", "no"):
            return _describe_header(REPEATABLE_HEADER, repeatable, "yes or no")
        key = request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH or (repeatable == "no" and not key):
            remedy = f"1 to {MAX_KEY_LENGTH} characters"
            return _describe_header(KEY_HEADER, key, remedy)
        deadline = request.headers.get(DEADLINE_HEADER, str(service.timeout_ms))
        if not deadline.isdigit() or int(deadline) == 0:
            return _describe_header(DEADLINE_HEADER, deadline, "milliseconds above 0")
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return Problem(Code.BODY_TOO_LARGE, field="body", remedy="send less")
        return _Call(
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

    async def _serve(self, call: _Call) -> tuple[SendResult | None, Problem | None]:
        try:
            if not call.repeatable:
                problem = await self._claim(call)
                if problem is not None:
                    return None, problem
            return await self._dispatch(call)
        finally:
            if call.claim_id and not call.ledger.may_have_run:
                # Nothing ran under this claim and nothing will be sent.
                record = ClaimReleased(call.service.name, call.key, call.claim_id)
                self._writer.add(record)

    # Claims.

    async def _claim(self, call: _Call) -> Problem | None:
        digest = xxhash.xxh3_64_intdigest(call.path.encode() + b"\n" + call.body)
        held = get_claim(self._keeper.state, call.service.name, call.key)
        if held is not None:
            return describe_other_claim(held, digest)
        loop = asyncio.get_running_loop()
        if self._writer.failing:
            return Problem(Code.CLAIM_UNAVAILABLE, retry_after_s=OUTAGE_RETRY_AFTER_S)
        call.claimed_s = loop.time()
        claim_id = call.request_id
        record = ClaimMade(
            call.service.name, call.key, claim_id, self._instance, digest
        )
        with self._tracer.start_as_current_span("claim"):
            return await self._commit_claim(call, record, digest)

    async def _commit_claim(self, call, record, digest) -> Problem | None:
        loop = asyncio.get_running_loop()
        end_s = min(call.deadline_s, call.claimed_s + self._claim_wait_s)
        unavailable = Problem(
            Code.CLAIM_UNAVAILABLE, retry_after_s=OUTAGE_RETRY_AFTER_S
        )
        call.claim_id = record.claim_id
        result = await self._writer.commit(record, max(0.0, end_s - loop.time()))
        offset = result.value_or(None)
        if offset is None:
            if result.failure().code is Code.LOG_UNAVAILABLE:
                call.claim_id = ""
            return unavailable
        if not await self._keeper.wait_folded(offset, max(0.0, end_s - loop.time())):
            return unavailable
        entry = get_claim(self._keeper.state, call.service.name, call.key)
        decision = decide_claim(entry, record.claim_id, digest)
        if not decision.ours:
            call.claim_id = ""
        return decision.problem

    # Sending.

    async def _dispatch(self, call: _Call) -> tuple[SendResult | None, Problem | None]:
        loop = asyncio.get_running_loop()
        dispatcher = self._get_dispatcher(call.service.name)
        dispatcher.retries.note_first()
        customer = self._keeper.state.customers.get(call.customer)
        share = customer.share if customer is not None else 1
        queued = QueuedRequest(
            call.request_id, call.customer, loop.time(), call.deadline_s
        )
        decision = dispatcher.offer(queued, share, loop.time())
        if isinstance(decision, Queued):
            decision = await self._wait_in_queue(dispatcher, call)
        if isinstance(decision, Refused):
            return None, decision.problem
        return await self._send_until_final(dispatcher, call, decision.upstream)

    async def _wait_in_queue(self, dispatcher, call: _Call) -> SendTo | Refused:
        future = asyncio.get_running_loop().create_future()
        self._waiting[call.request_id] = future
        try:
            with self._tracer.start_as_current_span("queue"):
                return await future
        except asyncio.CancelledError:
            if not dispatcher.queue.remove(call.request_id) and future.done():
                self._return_slot(dispatcher, future)
            raise
        finally:
            self._waiting.pop(call.request_id, None)

    def _return_slot(self, dispatcher: Dispatcher, future: asyncio.Future) -> None:
        if future.cancelled():
            return
        decision = future.result()
        if isinstance(decision, SendTo):
            self._finish(dispatcher, decision.upstream, True)

    async def _send_until_final(
        self, dispatcher: Dispatcher, call: _Call, upstream: str
    ) -> tuple[SendResult | None, Problem | None]:
        loop = asyncio.get_running_loop()
        tried: set[str] = set()
        while True:
            if not call.repeatable:
                problem = check_claim_age(call.claimed_s, loop.time())
                if problem is not None:
                    self._finish(dispatcher, upstream, True)
                    return None, problem
            result = await self._send_once(dispatcher, call, upstream)
            tried.add(upstream)
            if result.code is Code.ANSWERED:
                return result, None
            next_upstream = None
            if self._may_retry(call, result.code, loop.time()):
                avoid = frozenset(tried)
                next_upstream = dispatcher.choose_again(avoid, loop.time())
            if next_upstream is None:
                return None, self._conclude(call, result)
            upstream = next_upstream

    def _may_retry(self, call: _Call, code: Code, now_s: float) -> bool:
        return (
            call.ledger.may_send_again(code, call.repeatable)
            and call.ledger.sends < call.service.max_attempts
            and now_s < call.deadline_s
        )

    def _conclude(self, call: _Call, result: SendResult) -> Problem:
        code = call.ledger.conclude(result.code)
        retry_after_s = result.retry_after_s
        if is_not_run(code) and retry_after_s is None:
            retry_after_s = DEFAULT_RETRY_AFTER_S
        return Problem(code, retry_after_s=retry_after_s)

    async def _send_once(self, dispatcher, call: _Call, upstream: str) -> SendResult:
        loop = asyncio.get_running_loop()
        result = SendResult(Code.CONNECTION_LOST)
        call.ledger.note_send()
        try:
            with self._tracer.start_as_current_span("send") as span:
                span.set_attribute("upstream", upstream)
                request = SendRequest(
                    address=self._addresses[upstream],
                    path=call.path,
                    body=call.body,
                    content_type=call.content_type,
                    request_id=call.request_id,
                    trace_parent=get_trace_parent(span),
                    timeout_s=max(0.001, call.deadline_s - loop.time()),
                    reuse=call.service.echoes_request_id,
                    max_answer_bytes=self._max_answer_bytes,
                )
                result = await self._upstream.send(request)
            call.ledger.note_result(result.code)
            return result
        finally:
            self._finish(dispatcher, upstream, result.code is Code.ANSWERED)

    # Slots.

    def _finish(self, dispatcher: Dispatcher, upstream: str, well: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        self._give_out(dispatcher.finish(upstream, well, now_s))

    def _give_out(self, decisions: list[SendTo | Refused]) -> None:
        for decision in decisions:
            future = self._waiting.get(decision.request_id)
            if future is not None and not future.done():
                future.set_result(decision)

    async def _pump_forever(self) -> None:
        while True:
            await asyncio.sleep(PUMP_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for dispatcher in list(self._dispatchers.values()):
                self._give_out(dispatcher.pump(now_s))


def _describe_header(name: str, value: str, remedy: str) -> Problem:
    code = Code.INVALID_VALUE if value else Code.MISSING_FIELD
    return Problem(code, field=name, value=value[:MAX_KEY_LENGTH], remedy=remedy)
