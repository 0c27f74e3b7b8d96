"""Send requests that are not repeatable without a claim in the log."""

from larkhoist.daemon.claimer import Claimer
from larkhoist.daemon.main import main


async def claim_nothing(self, call):
    """Treat every request as claimed."""
    call.claimed_s = float("inf")


Claimer.claim = claim_nothing

if __name__ == "__main__":
    main()
