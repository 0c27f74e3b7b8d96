"""Stop without waiting for requests in progress."""

from larkhoist.daemon import instance
from larkhoist.daemon.entry import EntryTask
from larkhoist.daemon.main import main


async def drain_nothing(self, timeout_s):
    """Return at once, without waiting."""
    return False


EntryTask.drain = drain_nothing
# Not 0, which aiohttp treats as no limit.
instance.HANDLER_SHUTDOWN_S = 0.001
instance.LATE_REQUEST_GRACE_S = 0.0

if __name__ == "__main__":
    main()
