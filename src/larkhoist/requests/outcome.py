"""Track whether a request may have run, over all of its sends.

A request ends with an answer, as *not run* or as *unknown*. It is *not run* only if
every one of its sends is known not to have run.
"""

from dataclasses import dataclass

from larkhoist.codes import Code, is_not_run, is_unknown

__all__ = ["RequestLedger"]


@dataclass(slots=True)
class RequestLedger:
    """The sends of one request and their results."""

    sends: int = 0
    in_flight: bool = False
    answered: bool = False
    unknown_code: Code | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether any send may have run."""
        return self.in_flight or self.answered or self.unknown_code is not None

    def note_send(self) -> None:
        """Record that a send begins."""
        self.sends += 1
        self.in_flight = True

    def note_result(self, code: Code) -> None:
        """Record the result of the send in flight."""
        self.in_flight = False
        if is_unknown(code):
            self.unknown_code = code
        elif not is_not_run(code):
            self.answered = True

    def conclude(self, code: Code) -> Code:
        """Return the final code of the request, whose last step ended with ``code``."""
        if is_not_run(code) and self.unknown_code is not None:
            return self.unknown_code
        return code

    def may_send_again(self, code: Code, repeatable: bool) -> bool:
        """Tell whether the request may be sent again after ``code``."""
        if is_not_run(code):
            return True
        return is_unknown(code) and repeatable
