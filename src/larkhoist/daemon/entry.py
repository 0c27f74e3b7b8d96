"""Serve callers' requests, each with exactly one final outcome."""

import asyncio
import logging
from collections.abc import Callable

from aiohttp import web
from opentelemetry.trace import Span, Tracer

from larkhoist.codes import Code, is_not_run, is_unknown
from larkhoist.daemon.call import Call, read_call
from larkhoist.daemon.claimer import Claimer
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.metrics import Metrics
from larkhoist.daemon.replies import make_problem_response
from larkhoist.daemon.slot_table import SlotTable
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.daemon.tracing import get_parent, get_trace_id, get_trace_parent
from larkhoist.ports.upstream import SendRequest, SendResult, UpstreamPort
from larkhoist.problem import Problem
from larkhoist.requests.claim import check_claim_age
from larkhoist.requests.dispatcher import Refused
from larkhoist.requests.fair_queue import QueuedRequest

__all__ = ["EntryTask"]

_logger = logging.getLogger(__name__)
PUMP_INTERVAL_S = 0.05
DEFAULT_RETRY_AFTER_S = 1.0
MIN_SEND_TIMEOUT_S = 0.001


class EntryTask:
    """The handler of callers' requests.

    It reports each request as answered, refused, not run or unknown.
    """

    def __init__(
        self,
        keeper: StateKeeper,
        claimer: Claimer,
        slots: SlotTable,
        upstream: UpstreamPort,
        metrics: Metrics,
        tracer: Tracer,
        max_answer_bytes: int,
        check_serving: Callable[[], Problem | None],
    ):
        self._keeper = keeper
        self._claimer = claimer
        self._slots = slots
        self._upstream = upstream
        self._metrics = metrics
        self._tracer = tracer
        self._max_answer_bytes = max_answer_bytes
        self._check_serving = check_serving
        self._task: asyncio.Task | None = None
        self.in_flight = 0

    async def start(self) -> None:
        """Start the task that refuses queued requests at their deadlines."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the task; all requests must have ended."""
        await cancel_tasks([self._task])

    async def drain(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on time-out."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while self.in_flight and loop.time() < end_s:
            await asyncio.sleep(PUMP_INTERVAL_S)
        return self.in_flight == 0

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one caller's request."""
        started_s = asyncio.get_running_loop().time()
        parent = get_parent(request.headers.get("traceparent", ""))
        self.in_flight += 1
        try:
            with self._tracer.start_as_current_span("entry", context=parent) as span:
                response, code = await self._answer(request, span, started_s)
                span.set_attribute("code", int(code))
                _set_outcome_headers(response, code, span)
                return response
        finally:
            self.in_flight -= 1

    async def _answer(
        self, request: web.Request, span: Span, started_s: float
    ) -> tuple[web.Response, Code]:
        problem = self._check_serving()
        if problem is not None:
            return make_problem_response(problem), problem.code
        state = self._keeper.state
        call = await read_call(
            request, state.services, state.customers, span, started_s
        )
        if isinstance(call, Problem):
            return make_problem_response(call), call.code
        try:
            result = await self._serve(call)
        except asyncio.CancelledError:
            may_have_run = call.ledger.may_have_run
            code = Code.CALLER_GONE if may_have_run else Code.CALLER_GONE_EARLY
            self._count(call, code, started_s)
            raise
        self._count(call, result.code, started_s)
        if isinstance(result, Problem):
            return make_problem_response(result), result.code
        response = web.Response(status=result.status, body=result.body)
        response.headers["Content-Type"] = result.content_type
        return response, result.code

    def _count(self, call: Call, code: Code, started_s: float) -> None:
        seconds = asyncio.get_running_loop().time() - started_s
        self._metrics.count_request(int(code), seconds)
        log_event(
            _logger,
            "request",
            logging.DEBUG if code is Code.ANSWERED else logging.INFO,
            code=int(code),
            request=call.request_id,
            trace=get_trace_id(call.span),
            service=call.service.name,
            customer=call.customer,
            sends=call.ledger.sends,
            ms=round(seconds * 1000, 1),
        )

    async def _serve(self, call: Call) -> SendResult | Problem:
        try:
            if not call.repeatable:
                with self._tracer.start_as_current_span("claim"):
                    problem = await self._claimer.claim(call)
                if problem is not None:
                    return problem
            return await self._dispatch(call)
        finally:
            self._claimer.release_unused(call)

    async def _dispatch(self, call: Call) -> SendResult | Problem:
        now_s = asyncio.get_running_loop().time()
        customer = self._keeper.state.customers.get(call.customer)
        share = customer.share if customer is not None else 1
        queued = QueuedRequest(call.request_id, call.customer, now_s, call.deadline_s)
        with self._tracer.start_as_current_span("queue"):
            decision = await self._slots.acquire(
                call.service.name, queued, share, now_s
            )
        if isinstance(decision, Refused):
            return decision.problem
        return await self._send_until_final(call, decision.upstream)

    async def _send_until_final(
        self, call: Call, upstream: str
    ) -> SendResult | Problem:
        loop = asyncio.get_running_loop()
        tried: set[str] = set()
        while True:
            if not call.repeatable:
                problem = check_claim_age(call.claimed_s, loop.time())
                if problem is not None:
                    self._release(call, upstream, succeeded=True)
                    return problem
            result = await self._send_once(call, upstream)
            tried.add(upstream)
            if result.code is Code.ANSWERED:
                return result
            next_upstream = self._acquire_for_retry(call, result.code, frozenset(tried))
            if next_upstream is None:
                return _make_final_problem(call, result)
            upstream = next_upstream

    def _acquire_for_retry(
        self, call: Call, code: Code, tried: frozenset[str]
    ) -> str | None:
        now_s = asyncio.get_running_loop().time()
        may_retry = (
            call.ledger.may_send_again(code, call.repeatable)
            and call.ledger.sends < call.service.max_attempts
            and now_s < call.deadline_s
        )
        if not may_retry:
            return None
        return self._slots.acquire_for_retry(call.service.name, tried, now_s)

    async def _send_once(self, call: Call, upstream: str) -> SendResult:
        result = SendResult(Code.CONNECTION_LOST)
        call.ledger.note_send()
        try:
            with self._tracer.start_as_current_span("send") as span:
                span.set_attribute("upstream", upstream)
                result = await self._upstream.send(
                    self._make_request(call, upstream, span)
                )
            call.ledger.note_result(result.code)
            return result
        finally:
            self._release(call, upstream, succeeded=result.code is Code.ANSWERED)

    def _make_request(self, call: Call, upstream: str, span: Span) -> SendRequest:
        remaining_s = call.deadline_s - asyncio.get_running_loop().time()
        return SendRequest(
            address=self._slots.get_address(upstream),
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            request_id=call.request_id,
            trace_parent=get_trace_parent(span),
            timeout_s=max(MIN_SEND_TIMEOUT_S, remaining_s),
            reuse_connection=call.service.echoes_request_id,
            max_answer_bytes=self._max_answer_bytes,
        )

    def _release(self, call: Call, upstream: str, succeeded: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        self._slots.release(call.service.name, upstream, succeeded, now_s)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PUMP_INTERVAL_S)
            self._slots.pump(asyncio.get_running_loop().time())


def _make_final_problem(call: Call, result: SendResult) -> Problem:
    code = call.ledger.conclude(result.code)
    retry_after_s = result.retry_after_s
    if is_not_run(code) and retry_after_s is None:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    return Problem(code, retry_after_s=retry_after_s)


def _set_outcome_headers(response: web.Response, code: Code, span: Span) -> None:
    outcome = "refused"
    if code is Code.ANSWERED:
        outcome = "answer"
    elif is_not_run(code):
        outcome = "not-run"
    elif is_unknown(code):
        outcome = "unknown"
    response.headers["Larkhoist-Code"] = str(int(code))
    response.headers["Larkhoist-Outcome"] = outcome
    response.headers["Larkhoist-Trace-Id"] = get_trace_id(span)
    response.headers["traceparent"] = get_trace_parent(span)
