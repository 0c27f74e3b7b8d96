"""Hand the operators' records on to everybody who keeps a part of them."""

from collections.abc import Iterable

from larkhoist.control.stream_follower import StreamSink
from larkhoist.ports.keyed_log import StoredRecord

__all__ = ["OperatorRecords"]


class OperatorRecords:
    """Give each record of the operators' stream to all keepers, in order."""

    def __init__(self, *keepers: StreamSink):
        self._keepers = keepers

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Start anew from the newest record of each key."""
        newest = tuple(records)
        for keeper in self._keepers:
            keeper.replace(newest)

    def apply(self, record: StoredRecord) -> None:
        """Take one record."""
        for keeper in self._keepers:
            keeper.apply(record)
