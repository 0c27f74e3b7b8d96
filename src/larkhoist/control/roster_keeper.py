"""Keep the platform's list of workers, as far as it was read."""

from collections.abc import Callable, Iterable

from larkhoist.daemon.clock import read_steady_s
from larkhoist.ports.fleet import ListedTaskWorker
from larkhoist.ports.keyed_log import StoredRecord

__all__ = ["WORKER_STREAM", "HeardWorker", "RosterKeeper"]

WORKER_STREAM = "workers"


class HeardWorker:
    """Hold an entry and when it was read, in steady seconds."""

    __slots__ = ("entry", "heard_s")

    def __init__(self, entry: ListedTaskWorker, heard_s: float):
        self.entry = entry
        self.heard_s = heard_s


class RosterKeeper:
    """Hold the entries by name; ``version`` changes with them."""

    def __init__(self, decode: Callable[[StoredRecord], ListedTaskWorker | None]):
        self._decode = decode
        self.workers: dict[str, HeardWorker] = {}
        self.version = 0

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Start anew from the newest record of each key."""
        self.workers = {}
        self.version += 1
        for record in records:
            self.apply(record)

    def apply(self, record: StoredRecord) -> None:
        """Take one record; one without a value takes the worker off the list."""
        self.version += 1
        entry = self._decode(record)
        if entry is None:
            self.workers.pop(record.key, None)
            return
        now_s = read_steady_s()
        self.workers[entry.name] = HeardWorker(entry, now_s)

    def list_entries(self) -> list[ListedTaskWorker]:
        """Return the entries of all listed workers."""
        return [heard.entry for heard in self.workers.values()]
