"""Read the list of known failures: which tests are passed over, and why."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

__all__ = ["KnownFailure", "find_unmatched", "is_listed", "read_known_failures"]

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """Hold one entry; ``name`` is a test's id, or names a run that is no test."""

    name: str
    text: str

    @property
    def file(self) -> str:
        """Return the file of a test, empty where the entry is none."""
        file, separator, _ = self.name.partition("::")
        return file if separator else ""


def read_known_failures(lines: Iterable[str] | None = None) -> list[KnownFailure]:
    """Return the entries of the list, or of ``lines`` as it has them."""
    if lines is None:
        lines = LIST.read_text().splitlines()
    entries = [line.strip() for line in lines if line.strip()]
    return [KnownFailure(one.partition("|")[0].strip(), one) for one in entries]


def is_listed(test: str, failures: Iterable[KnownFailure]) -> bool:
    """Tell whether a test is listed, by its id or by that of all its cases."""
    return any(test == one.name or test.startswith(f"{one.name}[") for one in failures)


def find_unmatched(
    tests: Iterable[str], failures: Iterable[KnownFailure]
) -> list[KnownFailure]:
    """Return listed tests that are not in a file of which tests were collected."""
    tests = list(tests)
    files = {test.partition("::")[0] for test in tests}
    return [
        one
        for one in failures
        if one.file in files and not any(is_listed(test, [one]) for test in tests)
    ]
