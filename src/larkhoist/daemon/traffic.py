"""Count the calls of an instance and the bytes of their bodies by cause."""

from dataclasses import dataclass

__all__ = ["CallTotals", "Traffic"]


@dataclass(slots=True)
class CallTotals:
    """The calls of one cause, and the bytes of their bodies and their answers' bodies.

    A call without an answer counts as sent, since its body may have been.
    """

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class Traffic:
    """The totals by cause since the start of the instance."""

    def __init__(self):
        self.totals: dict[str, CallTotals] = {}

    def count_call(self, cause: str, sent_bytes: int) -> None:
        """Count a call that is about to be sent."""
        totals = self.totals.setdefault(cause, CallTotals())
        totals.calls += 1
        totals.sent_bytes += sent_bytes

    def count_answer(self, cause: str, received_bytes: int) -> None:
        """Count the answer to a call."""
        self.totals[cause].received_bytes += received_bytes
