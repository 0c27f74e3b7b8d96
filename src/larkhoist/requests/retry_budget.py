"""Limit retries to a share of the first attempts."""

from dataclasses import dataclass

__all__ = ["RetryBudget"]


@dataclass(slots=True)
class RetryBudget:
    """A token bucket: a first attempt adds ``ratio`` tokens, a retry spends one."""

    ratio: float
    burst: float
    tokens: float

    def add_first_attempt(self) -> None:
        """Count a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Spend a token for one retry; return False if none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
