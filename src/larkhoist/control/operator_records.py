"""Distribute the records of the operators' stream to several sinks."""

from collections.abc import Iterable

from larkhoist.control.stream_follower import StreamSink
from larkhoist.ports.keyed_log import StoredRecord

__all__ = ["OperatorRecords"]


class OperatorRecords:
    """A sink that passes each record to all its sinks, in order."""

    def __init__(self, *keepers: StreamSink):
        self._keepers = keepers

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Pass the newest record of each key to all sinks."""
        newest = tuple(records)
        for keeper in self._keepers:
            keeper.replace(newest)

    def apply(self, record: StoredRecord) -> None:
        """Pass one record to all sinks."""
        for keeper in self._keepers:
            keeper.apply(record)
