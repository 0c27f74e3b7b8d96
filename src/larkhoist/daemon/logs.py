"""Write one line of key=value pairs, or of JSON, for each event."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["KeyValueFormatter", "configure_logs", "log_event"]


class KeyValueFormatter(logging.Formatter):
    """Format a record as key=value pairs; values with spaces are quoted."""

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


def configure_logs(log_format: str, level: str) -> None:
    """Send the logs of the process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        formatter = _FieldsJsonFormatter("%(asctime)s %(levelname)s %(message)s")
    else:
        formatter = KeyValueFormatter()
    handler.setFormatter(formatter)
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
