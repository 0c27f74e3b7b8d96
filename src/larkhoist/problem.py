"""Describe refusals and errors in one form for people and programs."""

from dataclasses import dataclass

from larkhoist.codes import Code, describe_code

__all__ = ["Problem"]


@dataclass(frozen=True, slots=True)
class Problem:
    """A numbered result with what the reader needs to correct the cause.

    ``retry_after_s`` is in seconds; None means that a retry will not help.
    """

    code: Code
    detail: str = ""
    field: str = ""
    value: str = ""
    remedy: str = ""
    retry_after_s: float | None = None

    def __str__(self):
        parts = [f"{self.code.value} {self.code.name}: {describe_code(self.code)}"]
        if self.field:
            parts.append(f"field {self.field} = {self.value or '(nothing)'}")
        if self.detail:
            parts.append(self.detail)
        if self.remedy:
            parts.append(f"remedy: {self.remedy}")
        return "; ".join(parts)
