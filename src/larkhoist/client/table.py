"""Format rows as a text table."""

from collections.abc import Sequence

__all__ = ["format_table"]


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return ``rows`` under ``headings``, each column padded to its widest cell."""
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headings))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
