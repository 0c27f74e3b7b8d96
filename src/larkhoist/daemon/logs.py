"""Write one line of key=value pairs, or of JSON, for each event."""

import atexit
import logging
import queue
import sys
import time
from collections import Counter
from logging.handlers import QueueHandler, QueueListener

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedHandler", "KeyValueFormatter", "configure_logs", "log_event"]

MAX_QUEUED_LINES = 2000
"""Lines that may wait while standard output is read slowly; about 400 KB."""
MAX_LINES_PER_S = 400
"""Lines that a process writes in one second; further lines are only counted."""
MAX_LINES_OF_EVENT_PER_S = 200
"""Lines of a single event in one second, so that a frequent event does not suppress
the others: refused starts exceeded the limit of all lines by up to 300 a second."""


class KeyValueFormatter(logging.Formatter):
    """A formatter of key=value pairs; values with spaces are quoted."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of one record."""
        pairs = {
            "at": self.formatTime(record),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        pairs.update(getattr(record, "fields", {}))
        line = " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())
        if record.exc_info:
            line += f" error={_quote(repr(record.exc_info[1]))}"
        return line


class _FieldsJsonFormatter(JsonFormatter):
    def add_fields(self, log_data, record, message_dict):
        super().add_fields(log_data, record, message_dict)
        log_data.update(log_data.pop("fields", {}) or {})
        log_data["event"] = log_data.pop("message", record.getMessage())


class BoundedHandler(QueueHandler):
    """A handler that passes lines to a writer thread, limited in rate and number.

    Lines over a limit are dropped and counted; the next line that is queued carries
    the count.
    """

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self._second = 0
        self._written = 0
        self._written_by_event: Counter[str] = Counter()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line unless a limit of the current second is reached."""
        if self._count_line(record.getMessage()):
            super().emit(record)
        else:
            self._dropped += 1

    def _count_line(self, event: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._written = second, 0
            self._written_by_event.clear()
        if self._written >= MAX_LINES_PER_S:
            return False
        if self._written_by_event[event] >= MAX_LINES_OF_EVENT_PER_S:
            return False
        self._written += 1
        self._written_by_event[event] += 1
        return True

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Format the record now, so that later changes to its fields have no effect."""
        record.msg = self.format(record)
        record.args = None
        record.exc_info = None
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        if self._dropped:
            record.msg += f" lines_dropped_before={self._dropped}"
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1
            return
        self._dropped = 0


def configure_logs(log_format: str, level: str) -> None:
    """Send the logs of the process to standard output without blocking it."""
    if log_format == "json":
        formatter = _FieldsJsonFormatter("%(asctime)s %(levelname)s %(message)s")
    else:
        formatter = KeyValueFormatter()
    lines: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
    handler = BoundedHandler(lines)
    handler.setFormatter(formatter)
    listener = QueueListener(lines, logging.StreamHandler(sys.stdout))
    listener.start()
    atexit.register(listener.stop)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, **fields
) -> None:
    """Log ``event`` with its fields."""
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(character in text for character in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
