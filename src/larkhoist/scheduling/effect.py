"""Define the actions that the scheduler asks the daemon to carry out."""

from dataclasses import dataclass

from larkhoist.log.records import Record
from larkhoist.ports.worker import TaskCommand

__all__ = ["Append", "Effect", "Send"]


@dataclass(frozen=True, slots=True)
class Send:
    """Send one command to one worker."""

    worker: str
    command: TaskCommand


@dataclass(frozen=True, slots=True)
class Append:
    """Append one record to the platform's log."""

    record: Record


Effect = Send | Append
