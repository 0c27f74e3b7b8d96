"""Read KNOWN-RED.txt: the known failures that a test run deselects, with reasons."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

__all__ = ["KnownFailure", "find_unmatched", "is_listed", "read_known_failures"]

LIST_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """An entry of the list.

    ``name`` is the id of a test, or the name of a run outside pytest, such as a soak.
    ``text`` is the whole line.
    """

    name: str
    text: str

    @property
    def file(self) -> str:
        """Return the path of the test's file, empty if the entry is not a test."""
        file, separator, _ = self.name.partition("::")
        return file if separator else ""


def read_known_failures(lines: Iterable[str] | None = None) -> list[KnownFailure]:
    """Return the entries of KNOWN-RED.txt, or of ``lines`` in the same format."""
    if lines is None:
        lines = LIST_PATH.read_text().splitlines()
    entries = [line.strip() for line in lines if line.strip()]
    return [KnownFailure(entry.partition("|")[0].strip(), entry) for entry in entries]


def is_listed(test: str, failures: Iterable[KnownFailure]) -> bool:
    """Return whether a test is listed; an id without parameters covers all cases."""
    return any(
        test == failure.name or test.startswith(f"{failure.name}[")
        for failure in failures
    )


def find_unmatched(
    tests: Iterable[str], failures: Iterable[KnownFailure]
) -> list[KnownFailure]:
    """Return listed tests that are missing from the collected tests of their file.

    Files of which no test was collected are not checked.
    """
    tests = list(tests)
    files = {test.partition("::")[0] for test in tests}
    return [
        failure
        for failure in failures
        if failure.file in files
        and not any(is_listed(test, [failure]) for test in tests)
    ]
