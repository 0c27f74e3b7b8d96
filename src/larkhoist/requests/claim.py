"""Decide whether a request that is not repeatable may be sent.

The first claim of a key that the log folds holds the only send. Its holder sends
only while the claim is young, so that a holder that was paused for longer than
the log remembers keys does not send again.
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
    """Hold whether the claim is ours; ``problem`` says why it is not."""

    ours: bool
    problem: Problem | None = None


def decide_claim(entry: ClaimEntry | None, claim_id: str, digest: int) -> ClaimDecision:
    """Decide by the folded entry of the key, once our own claim was folded."""
    if entry is None:
        return ClaimDecision(False, Problem(Code.CLAIM_UNAVAILABLE))
    if entry.claim_id == claim_id:
        return ClaimDecision(True)
    return ClaimDecision(False, describe_other_claim(entry, digest))


def describe_other_claim(entry: ClaimEntry, digest: int) -> Problem:
    """Return what to tell a caller whose key another request holds."""
    if entry.digest != digest:
        return Problem(
            Code.KEY_REUSED,
            field="Idempotency-Key",
            remedy="use a new key for another request",
        )
    return Problem(Code.CLAIMED_BEFORE, detail=f"claimed through {entry.instance}")


def check_claim_age(claimed_s: float, now_s: float) -> Problem | None:
    """Refuse to send on a claim that was queued too long ago.

    ``claimed_s`` is the monotonic time before the claim was appended.
    """
    if now_s - claimed_s <= MAX_SEND_AGE_S:
        return None
    return Problem(Code.CLAIM_TOO_OLD)
