"""Hold the current configuration of queues and customers."""

import logging
from collections.abc import Callable, Iterable

from larkhoist.daemon.logs import log_event
from larkhoist.jobs.catalog import Catalog
from larkhoist.ports.keyed_log import StoredRecord

__all__ = ["CONFIGURATION_STREAM", "CatalogKeeper"]

_logger = logging.getLogger(__name__)
CONFIGURATION_STREAM = "configuration"


class CatalogKeeper:
    """The newest configuration version read so far; older versions are ignored."""

    def __init__(self, decode: Callable[[StoredRecord], Catalog | None]):
        self._decode = decode
        self.catalog: Catalog | None = None
        self.on_change: Callable[[], None] = lambda: None

    def replace(self, records: Iterable[StoredRecord]) -> None:
        """Apply the newest record of each key."""
        for record in records:
            self.apply(record)

    def apply(self, record: StoredRecord) -> None:
        """Apply one record."""
        catalog = self._decode(record)
        if catalog is None:
            return
        old = self.catalog.version if self.catalog is not None else -1
        if catalog.version <= old:
            return
        self.catalog = catalog
        log_event(
            _logger,
            "configuration-in-force",
            version=catalog.version,
            previous=old,
            offset=record.offset,
            queues=len(catalog.queues),
            customers=len(catalog.customers),
        )
        self.on_change()
