"""Decide whether a request that is not repeatable may be sent.

The first claim on a key in the log wins the right to send once. Its holder sends only
while the claim is younger than half of ``CLAIM_WINDOW_MS``: keys are forgotten after
that window, and a holder that was paused for longer must not send a second time.
"""

from dataclasses import dataclass

from larkhoist.codes import Code
from larkhoist.log.fold import CLAIM_WINDOW_MS
from larkhoist.log.state import ClaimEntry
from larkhoist.problem import Problem

__all__ = ["ClaimDecision", "check_claim_age", "decide_claim", "describe_other_claim"]

MAX_SEND_AGE_S = CLAIM_WINDOW_MS / 1000 / 2


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Whether the claim was granted to this request; ``problem`` says why not."""

    ours: bool
    problem: Problem | None = None


def decide_claim(entry: ClaimEntry | None, claim_id: str, digest: int) -> ClaimDecision:
    """Decide by the key's entry after this request's own claim has been folded."""
    if entry is None:
        return ClaimDecision(False, Problem(Code.CLAIM_UNAVAILABLE))
    if entry.claim_id == claim_id:
        return ClaimDecision(True)
    return ClaimDecision(False, describe_other_claim(entry, digest))


def describe_other_claim(entry: ClaimEntry, digest: int) -> Problem:
    """Return the problem for a caller whose key is claimed by another request."""
    if entry.digest != digest:
        return Problem(
            Code.KEY_REUSED,
            field="Idempotency-Key",
            remedy="use a new key for another request",
        )
    return Problem(Code.CLAIMED_BEFORE, detail=f"claimed through {entry.instance}")


def check_claim_age(claimed_s: float, now_s: float) -> Problem | None:
    """Return a problem if the claim is too old to send on, else None.

    ``claimed_s`` is the monotonic time just before the claim was queued.
    """
    if now_s - claimed_s <= MAX_SEND_AGE_S:
        return None
    return Problem(Code.CLAIM_TOO_OLD)
