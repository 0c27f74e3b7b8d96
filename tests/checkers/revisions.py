"""Check that the configuration in force in a hall never goes back."""

from dataclasses import dataclass

__all__ = ["RevisionSample", "find_reversions"]


@dataclass(frozen=True)
class RevisionSample:
    """Hold the revision that an instance served from at a time in seconds.

    Samples of one instance are taken one after the other.
    """

    at_s: float
    instance: str
    revision: int


def find_reversions(samples: list[RevisionSample]) -> list[str]:
    """Return a sentence for each instance that served from an older revision.

    A replaced instance counts as the one it replaces.
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
