"""Hold which data halls are cordoned, so that they get no new work."""

import logging
from collections.abc import Callable, Iterable

from larkhoist.daemon.logs import log_event
from larkhoist.ports.fleet import HallCordon
from larkhoist.ports.keyed_log import StoredRecord

__all__ = ["CordonKeeper"]

_logger = logging.getLogger(__name__)


class CordonKeeper:
    """The halls that are cordoned according to the records read so far."""

    def __init__(self, decode: Callable[[StoredRecord], HallCordon | None]):
        self._decode = decode
        self.halls: frozenset[str] = frozenset()
        self.on_change: Callable[[], None] = lambda: None

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Replace all cordons by the newest record of each key.

        A cordon that was lifted may have no record left, so halls without one are not
        cordoned.
        """
        decoded = [(record, self._decode(record)) for record in records]
        halls = {c.hall for _, c in decoded if c is not None and c.in_force}
        offset = max((record.offset for record, _ in decoded), default=0)
        self._take(frozenset(halls), offset)

    def apply(self, record: StoredRecord) -> None:
        """Apply one record."""
        cordon = self._decode(record)
        if cordon is None:
            return
        others = self.halls - {cordon.hall}
        halls = others | {cordon.hall} if cordon.in_force else others
        self._take(halls, record.offset)

    def _take(self, halls: frozenset[str], offset: int) -> None:
        if halls == self.halls:
            return
        log_event(
            _logger,
            "cordons-changed",
            cordoned=_format_halls(halls - self.halls),
            lifted=_format_halls(self.halls - halls),
            in_force=_format_halls(halls),
            offset=offset,
        )
        self.halls = halls
        self.on_change()


def _format_halls(halls: frozenset[str]) -> str:
    return ",".join(sorted(halls))
