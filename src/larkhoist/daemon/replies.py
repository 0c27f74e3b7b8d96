"""Turn problems and views into HTTP responses."""

import math
from typing import Any

import msgspec
from aiohttp import web

from larkhoist.codes import Code, describe_code, get_http_status
from larkhoist.problem import Problem

__all__ = ["ProblemBody", "make_json_response", "make_problem_response"]


class ProblemBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem in the form sent to callers and operators."""

    code: int
    name: str
    message: str
    detail: str = ""
    field: str = ""
    value: str = ""
    remedy: str = ""
    retry_after_s: float | None = None


def make_problem_response(*problems: Problem) -> web.Response:
    """Return a response that lists every problem; the first sets the status."""
    first = problems[0]
    body = msgspec.json.encode([_make_body(problem) for problem in problems])
    response = web.Response(
        status=get_http_status(first.code),
        body=b'{"problems":' + body + b"}",
        content_type="application/json",
    )
    response.headers["Larkhoist-Code"] = str(int(first.code))
    if first.retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(first.retry_after_s)))
    return response


def make_json_response(data: Any, code: Code = Code.ACCEPTED) -> web.Response:
    """Return a response with ``data`` as JSON."""
    response = web.Response(
        status=get_http_status(code),
        body=msgspec.json.encode(data),
        content_type="application/json",
    )
    response.headers["Larkhoist-Code"] = str(int(code))
    return response


def _make_body(problem: Problem) -> ProblemBody:
    return ProblemBody(
        code=int(problem.code),
        name=problem.code.name,
        message=describe_code(problem.code),
        detail=problem.detail,
        field=problem.field,
        value=problem.value,
        remedy=problem.remedy,
        retry_after_s=problem.retry_after_s,
    )
