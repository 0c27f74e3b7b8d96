"""Take no log entries from peers."""

from larkhoist.daemon.main import main
from larkhoist.daemon.peer_link import PeerLink


async def fetch_nothing(self, from_offset):
    """Fetch nothing."""


PeerLink.fetch_tail = fetch_nothing

if __name__ == "__main__":
    main()
