"""Hold the platform's list of workers as read so far."""

from collections.abc import Callable, Iterable

from larkhoist.daemon.clock import read_monotonic_s
from larkhoist.ports.fleet import ListedTaskWorker
from larkhoist.ports.keyed_log import StoredRecord

__all__ = ["WORKER_STREAM", "RosterEntry", "RosterKeeper"]

WORKER_STREAM = "workers"


class RosterEntry:
    """A listed worker and when its entry was read, in monotonic seconds."""

    __slots__ = ("entry", "heard_s")

    def __init__(self, entry: ListedTaskWorker, heard_s: float):
        self.entry = entry
        self.heard_s = heard_s


class RosterKeeper:
    """The entries by worker name; ``version`` increases with each change."""

    def __init__(self, decode: Callable[[StoredRecord], ListedTaskWorker | None]):
        self._decode = decode
        self.workers: dict[str, RosterEntry] = {}
        self.version = 0

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Replace all entries by the newest record of each key."""
        self.workers = {}
        self.version += 1
        for record in records:
            self.apply(record)

    def apply(self, record: StoredRecord) -> None:
        """Apply one record; a record without a value removes the worker."""
        self.version += 1
        entry = self._decode(record)
        if entry is None:
            self.workers.pop(record.key, None)
            return
        now_s = read_monotonic_s()
        self.workers[entry.name] = RosterEntry(entry, now_s)

    def is_leaving(self, worker: str, started_ms: int) -> bool:
        """Tell whether the entry of a worker says that it leaves.

        ``started_ms`` is the start time of the incarnation, 0 if unknown. The entry of
        an earlier one does not count.
        """
        found = self.workers.get(worker)
        if found is None or not found.entry.leaving:
            return False
        return not (found.entry.started_ms and found.entry.started_ms < started_ms)

    def list_entries(self) -> list[ListedTaskWorker]:
        """Return the entries of all listed workers."""
        return [roster_entry.entry for roster_entry in self.workers.values()]
