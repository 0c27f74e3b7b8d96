"""Serve the operator API: plans, confirmations, jobs and status."""

import uuid
from collections.abc import Awaitable, Callable

from aiohttp import web

from larkhoist.border.intents import (
    IntentModel,
    JobModel,
    make_changes,
    make_job_spec,
)
from larkhoist.border.loading import load_model
from larkhoist.codes import Code
from larkhoist.daemon.list_poller import ListPoller
from larkhoist.daemon.log_writer import LogWriter
from larkhoist.daemon.replies import make_json_response, make_problem_response
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.views import (
    ConfirmView,
    CustomerView,
    InstanceView,
    JobView,
    PlanView,
    ServiceView,
    StatusView,
)
from larkhoist.log.plan import check_job, check_plan, describe_plan, make_hall_indexes
from larkhoist.log.records import (
    JobCancelled,
    JobPut,
    PlanConfirmed,
    PlanProposed,
    Record,
)
from larkhoist.log.state import JobEntry, JobState
from larkhoist.problem import Problem

__all__ = ["OperatorApi"]

COMMIT_TIMEOUT_S = 5.0
AUTHOR_HEADER = "Larkhoist-Author"


class OperatorApi:
    """The operator API: reads use the folded state, changes go through the log."""

    def __init__(
        self,
        keeper: StateKeeper,
        writer: LogWriter,
        list_poller: ListPoller,
        explain: Callable[[str, str], Awaitable[str]],
        make_status: Callable[[], StatusView],
        check_serving: Callable[[], Problem | None],
    ):
        self._keeper = keeper
        self._writer = writer
        self._list_poller = list_poller
        self._explain = explain
        self._make_status = make_status
        self._check_serving = check_serving

    def get_routes(self) -> list[web.RouteDef]:
        """Return the routes of the interface."""
        return [
            web.post("/v1/plans", self.plan),
            web.post("/v1/plans/{plan_id}/confirm", self.confirm),
            web.get("/v1/status", self.status),
            web.get("/v1/jobs", self.list_jobs),
            web.post("/v1/jobs", self.submit_job),
            web.get("/v1/jobs/{job_id}", self.show_job),
            web.post("/v1/jobs/{job_id}/cancel", self.cancel_job),
            web.get("/v1/customers", self.list_customers),
            web.get("/v1/services", self.list_services),
            web.get("/v1/{kind:workers|upstreams}", self.list_instances),
        ]

    async def plan(self, request: web.Request) -> web.Response:
        """Check an intent and store a plan for it, without putting it into force."""
        problem = self._check_serving()
        if problem is not None:
            return make_problem_response(problem)
        loaded = load_model(IntentModel, await request.text())
        intent = loaded.value_or(None)
        if intent is None:
            return make_problem_response(*loaded.failure())
        state = self._keeper.state
        changes = make_changes(intent)
        problems = check_plan(state, changes, self._make_hall_indexes())
        if problems:
            return make_problem_response(*problems)
        plan = PlanProposed(
            uuid.uuid4().hex[:12], state.revision, _get_author(request), changes
        )
        lines = describe_plan(state, changes)
        problem = await self._commit(plan)
        if problem is not None:
            return make_problem_response(problem)
        return make_json_response(PlanView(plan.plan_id, plan.base_revision, lines))

    async def confirm(self, request: web.Request) -> web.Response:
        """Put a plan into force unless a conflicting change came first."""
        problem = self._check_serving()
        if problem is not None:
            return make_problem_response(problem)
        plan_id = request.match_info["plan_id"]
        if plan_id not in self._keeper.state.confirms:
            record = PlanConfirmed(plan_id, _get_author(request))
            problem = await self._commit(record)
            if problem is not None:
                return make_problem_response(problem)
        outcome = self._keeper.state.confirms[plan_id]
        code = Code(outcome.code)
        view = ConfirmView(
            plan_id, int(code), code.name, outcome.revision, outcome.winner
        )
        if code is Code.ACCEPTED:
            return make_json_response(view)
        detail = f"plan {outcome.winner} came first" if outcome.winner else ""
        return make_problem_response(
            Problem(
                code, detail=detail, field="plan", value=plan_id, remedy="plan again"
            )
        )

    async def status(self, _: web.Request) -> web.Response:
        """Show each hall with its owner and the revision in force."""
        return make_json_response(self._make_status(), Code.IN_FORCE)

    async def list_jobs(self, _: web.Request) -> web.Response:
        """List the jobs."""
        jobs = self._keeper.state.jobs.values()
        return make_json_response([_view_job(job) for job in jobs])

    async def submit_job(self, request: web.Request) -> web.Response:
        """Submit a job.

        Submitting the same job again changes nothing; another job under a name in
        use is refused.
        """
        problem = self._check_serving()
        if problem is not None:
            return make_problem_response(problem)
        loaded = load_model(JobModel, await request.text())
        model = loaded.value_or(None)
        if model is None:
            return make_problem_response(*loaded.failure())
        spec = make_job_spec(model)
        existing = self._keeper.state.jobs.get(spec.job_id)
        if existing is not None and existing.spec != spec:
            return make_problem_response(
                Problem(
                    Code.KEY_REUSED,
                    field="name",
                    value=spec.job_id,
                    remedy="use a new name for another job",
                )
            )
        problems = check_job(
            spec, self._keeper.state.customers, self._make_hall_indexes()
        )
        if problems:
            return make_problem_response(*problems)
        problem = await self._commit(JobPut(spec))
        if problem is not None:
            return make_problem_response(problem)
        return make_json_response(_view_job(self._keeper.state.jobs[spec.job_id]))

    async def show_job(self, request: web.Request) -> web.Response:
        """Show one job and why it waits."""
        job_id = request.match_info["job_id"]
        job = self._keeper.state.jobs.get(job_id)
        if job is None:
            return _make_not_found("job", job_id)
        explanation = ""
        if job.state is not JobState.ENDED:
            explanation = await self._explain(job.hall, job_id)
        return make_json_response(_view_job(job, explanation))

    async def cancel_job(self, request: web.Request) -> web.Response:
        """Cancel a job."""
        job_id = request.match_info["job_id"]
        if job_id not in self._keeper.state.jobs:
            return _make_not_found("job", job_id)
        problem = await self._commit(JobCancelled(job_id))
        if problem is not None:
            return make_problem_response(problem)
        return make_json_response(_view_job(self._keeper.state.jobs[job_id]))

    async def list_customers(self, _: web.Request) -> web.Response:
        """List the customers in force here."""
        views = [
            CustomerView(
                spec.name,
                spec.share,
                [
                    f"{guarantee.hall}: {cell.count} x {cell.accelerators}"
                    for guarantee in spec.guarantees
                    for cell in guarantee.cells
                ],
            )
            for spec in self._keeper.state.customers.values()
        ]
        return make_json_response(views)

    async def list_services(self, _: web.Request) -> web.Response:
        """List the services in force here."""
        services = self._keeper.state.services.values()
        views = [
            ServiceView(
                spec.name, spec.timeout_ms, spec.max_attempts, spec.echoes_request_id
            )
            for spec in services
        ]
        return make_json_response(views)

    async def list_instances(self, request: web.Request) -> web.Response:
        """List the workers or upstreams in the platform's list."""
        kind = request.match_info["kind"].removesuffix("s")
        views = [
            InstanceView(
                i.name, i.hall, i.rack, i.address, i.accelerators or i.slots, i.leaving
            )
            for i in self._list_poller.listed.instances
            if i.kind == kind
        ]
        views.sort(key=lambda view: (view.hall, view.name))
        return make_json_response(views)

    async def _commit(self, record: Record) -> Problem | None:
        result = await self._writer.commit(record, COMMIT_TIMEOUT_S)
        offset = result.value_or(None)
        if offset is None:
            return result.failure()
        if not await self._keeper.wait_folded(offset, COMMIT_TIMEOUT_S):
            return Problem(Code.APPEND_UNKNOWN, retry_after_s=1.0)
        return None

    def _make_hall_indexes(self):
        return make_hall_indexes(self._list_poller.listed.instances)


def _view_job(job: JobEntry, explanation: str = "") -> JobView:
    spec = job.spec
    return JobView(
        spec.job_id,
        spec.customer,
        job.state.value,
        job.hall,
        job.attempt,
        job.code,
        f"{spec.members} x {spec.accelerators} in one {spec.adjacency}",
        job.workers,
        job.cancelled,
        explanation,
    )


def _get_author(request: web.Request) -> str:
    return request.headers.get(AUTHOR_HEADER, "operator")[:64]


def _make_not_found(field: str, name: str) -> web.Response:
    return make_problem_response(Problem(Code.NOT_FOUND, field=field, value=name))
