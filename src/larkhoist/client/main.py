"""Run ``larkhoist``, the command-line client for operators."""

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
from returns.result import Success

from larkhoist.client.call import call_instance
from larkhoist.client.table import format_table
from larkhoist.codes import Code, describe_code, is_unknown

__all__ = ["Client", "main"]

DEFAULT_SERVER = "127.0.0.1:8080"
EXIT_REFUSED = 1
EXIT_UNKNOWN = 3
JOB_COLUMNS = ["job_id", "customer", "state", "hall", "attempt", "code", "shape"]
INSTANCE_COLUMNS = ["name", "hall", "rack", "address", "size", "leaving"]


@dataclass
class Plan:
    """Check an intent file and show what it would change."""

    file: Annotated[Path, cappa.Arg(help="intent file, JSON with comments")]


@dataclass
class Confirm:
    """Put a plan into force."""

    plan_id: Annotated[str, cappa.Arg(help="id that plan printed")]


@dataclass
class Status:
    """Show halls, owners and the revision in force in each."""


@dataclass
class Jobs:
    """List the jobs."""


@cappa.command(name="submit")
@dataclass
class JobSubmit:
    """Submit the job in a file."""

    file: Annotated[Path, cappa.Arg(help="job file, JSON with comments")]


@cappa.command(name="show")
@dataclass
class JobShow:
    """Show one job."""

    name: str


@cappa.command(name="cancel")
@dataclass
class JobCancel:
    """Cancel one job."""

    name: str


@dataclass
class Job:
    """Work with one job."""

    action: cappa.Subcommands[JobSubmit | JobShow | JobCancel]


@dataclass
class Services:
    """List the services."""


@dataclass
class Customers:
    """List the customers and their guarantees."""


@dataclass
class Workers:
    """List the workers."""


@dataclass
class Upstreams:
    """List the upstreams."""


@dataclass
class Explain:
    """Say why a job waits or where it runs."""

    name: str


Command = (
    Plan
    | Confirm
    | Status
    | Jobs
    | Job
    | Services
    | Customers
    | Workers
    | Upstreams
    | Explain
)


@cappa.command(name="larkhoist")
@dataclass
class Client:
    """Talk to larkhoist as an operator."""

    command: cappa.Subcommands[Command]
    server: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("LARKHOIST_SERVER", default=DEFAULT_SERVER),
            help="IP number and port of any instance",
        ),
    ] = DEFAULT_SERVER
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON for programs")] = False


@dataclass(frozen=True, slots=True)
class _Call:
    """One call to an instance."""

    method: str
    path: str
    text: str = ""


def main() -> None:
    """Run one command and exit with a stable exit code.

    0: success; 1: refused; 2: usage error; 3: outcome unknown or server unreachable.
    """
    client = cappa.parse(Client)
    try:
        call = _make_call(client.command)
    except OSError as error:
        print(f"larkhoist: {error.filename}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)
    result = asyncio.run(
        call_instance(call.method, client.server, call.path, call.text)
    )
    match result:
        case Success(reply):
            if client.json:
                print(json.dumps(reply.body))
            else:
                print(_format(client.command, reply.body))
        case failure:
            problems = failure.failure()
            for problem in problems:
                print(f"larkhoist: {problem}", file=sys.stderr)
            code = problems[0].code
            unknown = is_unknown(code) or code is Code.CONNECT_FAILED
            sys.exit(EXIT_UNKNOWN if unknown else EXIT_REFUSED)


def _make_call(command: Command) -> _Call:
    match command:
        case Plan(file):
            return _Call("POST", "/v1/plans", file.read_text())
        case Confirm(plan_id):
            return _Call("POST", f"/v1/plans/{plan_id}/confirm")
        case Job(JobSubmit(file)):
            return _Call("POST", "/v1/jobs", file.read_text())
        case Job(JobShow(name)) | Explain(name):
            return _Call("GET", f"/v1/jobs/{name}")
        case Job(JobCancel(name)):
            return _Call("POST", f"/v1/jobs/{name}/cancel")
        case _:
            return _Call("GET", f"/v1/{type(command).__name__.lower()}")


def _format(command: Command, body: Any) -> str:
    match command:
        case Plan():
            return _format_plan(body)
        case Confirm():
            return f"{body['code']} {body['name']}: revision {body['revision']}"
        case Status():
            return _format_status(body)
        case Jobs():
            return _format_rows(
                body,
                ["job_id", "customer", "state", "hall", "attempt", "code", "shape"],
            )
        case Job():
            return _format_job(body)
        case Explain():
            return body["explanation"] or _describe_state(body)
        case Customers():
            return _format_rows(body, ["name", "share", "guarantees"])
        case Services():
            return _format_rows(
                body, ["name", "timeout_ms", "max_attempts", "echoes_request_id"]
            )
        case _:
            return _format_rows(
                body, ["name", "hall", "rack", "address", "size", "leaving"]
            )


def _format_plan(body: Any) -> str:
    rows = [(line["action"], line["object"], line["detail"]) for line in body["lines"]]
    table = format_table(("action", "object", "detail"), rows)
    return f"{table}\nplan {body['plan_id']}; nothing has changed until it is confirmed"


def _format_status(body: Any) -> str:
    head = (
        f"{body['instance']} in {body['hall']}: "
        f"{'ready' if body['ready'] else 'not ready'}, "
        f"platform {'up' if body['platform_up'] else 'down'}, "
        f"revision {body['revision']}, offset {body['next_offset']}"
    )
    columns = "hall owner owner_epoch instances revision next_offset in_force silent_s"
    return head + "\n" + _format_rows(body["halls"], columns.split())


def _format_rows(body: Any, columns: list[str]) -> str:
    rows = [[_format_cell(item[column]) for column in columns] for item in body]
    return format_table(columns, rows)


def _format_cell(value: Any) -> str:
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value) if value != "" else "-"


def _format_job(body: Any) -> str:
    rows = [(key, _format_cell(value)) for key, value in body.items()]
    return format_table(("field", "value"), rows)


def _describe_state(body: Any) -> str:
    if body["code"]:
        code = Code(body["code"])
        return f"{body['state']}: {int(code)} {describe_code(code)}"
    return f"{body['state']} in {body['hall'] or 'no data hall yet'}"


if __name__ == "__main__":
    main()
