"""Keep exact account of what may have happened to one request.

A request ends as an answer, as *not run* or as *unknown*. It is not run only
where every one of its sends is known not to have run.
"""

from dataclasses import dataclass

from larkhoist.codes import Code, is_not_run, is_unknown

__all__ = ["RequestLedger"]


@dataclass(slots=True)
class RequestLedger:
    """Hold the sends of one request and what they came to."""

    sends: int = 0
    under_way: bool = False
    answered: bool = False
    unknown: Code | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether any send may have run."""
        return self.under_way or self.answered or self.unknown is not None

    def note_send(self) -> None:
        """Note that a send begins."""
        self.sends += 1
        self.under_way = True

    def note_result(self, code: Code) -> None:
        """Note how the send ended."""
        self.under_way = False
        if is_unknown(code):
            self.unknown = code
        elif not is_not_run(code):
            self.answered = True

    def conclude(self, code: Code) -> Code:
        """Return the final code where the last thing that happened was ``code``."""
        if is_not_run(code) and self.unknown is not None:
            return self.unknown
        return code

    def may_send_again(self, code: Code, repeatable: bool) -> bool:
        """Tell whether another send is right after one that ended with ``code``."""
        if is_not_run(code):
            return True
        return is_unknown(code) and repeatable
