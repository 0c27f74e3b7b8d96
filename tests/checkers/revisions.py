"""Check that the configuration in force on an instance never reverts."""

from dataclasses import dataclass

__all__ = ["RevisionSample", "find_reversions"]


@dataclass(frozen=True)
class RevisionSample:
    """Revision that an instance served from; ``at_s`` is in seconds.

    Samples of one instance do not overlap in time.
    """

    at_s: float
    instance: str
    revision: int


def find_reversions(samples: list[RevisionSample]) -> list[str]:
    """Return a sentence for each sample that is older than the one before it.

    A replacement has the name of the instance it replaces and must not revert either.
    """
    newest: dict[str, int] = {}
    found = []
    for sample in sorted(samples, key=lambda sample: sample.at_s):
        before = newest.get(sample.instance, 0)
        if sample.revision < before:
            what = f"{sample.instance} went from {before} to {sample.revision}"
            found.append(what)
        newest[sample.instance] = sample.revision
    return found
