"""Parse JSON with comments and validate it, reporting every error at once."""

from typing import Any, TypeVar

import pyjson5
from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from larkhoist.codes import Code
from larkhoist.problem import Problem

__all__ = ["load_model", "check_model"]

Model = TypeVar("Model", bound=BaseModel)

_CODES = {
    "missing": Code.MISSING_FIELD,
    "extra_forbidden": Code.UNKNOWN_FIELD,
}
_REMEDIES = {
    Code.MISSING_FIELD: "add the field",
    Code.UNKNOWN_FIELD: "remove the field or correct its name",
}
MAX_SHOWN_VALUE = 80


def load_model(model: type[Model], text: str) -> Result[Model, list[Problem]]:
    """Return the validated model in ``text``, or every problem found."""
    try:
        data = pyjson5.decode(text)
    except (pyjson5.Json5DecoderException, ValueError) as error:
        return Failure(
            [
                Problem(
                    Code.NOT_PARSABLE,
                    detail=str(error.args[0]),
                    remedy="write JSON; comments and trailing commas are allowed",
                )
            ]
        )
    return check_model(model, data)


def check_model(model: type[Model], data: Any) -> Result[Model, list[Problem]]:
    """Return ``data`` as a validated model, or every problem found."""
    try:
        return Success(model.model_validate(data))
    except ValidationError as error:
        return Failure([_make_problem(item) for item in error.errors()])


def _make_problem(item: dict[str, Any]) -> Problem:
    code = _CODES.get(item["type"], Code.INVALID_VALUE)
    value = "" if code is Code.MISSING_FIELD else repr(item["input"])
    return Problem(
        code,
        field=".".join(str(part) for part in item["loc"]),
        value=value[:MAX_SHOWN_VALUE],
        remedy=_REMEDIES.get(code, item["msg"]),
    )
