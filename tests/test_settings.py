"""Check that the documented settings are those of the code."""

import re
from pathlib import Path

from pydantic import BaseModel

from larkhoist.border.settings import DaemonSettings

TABLE = Path(__file__).parent.parent / "docs" / "SETTINGS.md"


def list_fields(model, prefix=""):
    """Return each field's path and default, in order."""
    found = []
    for name, field in model.model_fields.items():
        kind = field.annotation
        if isinstance(kind, type) and issubclass(kind, BaseModel):
            found += list_fields(kind, f"{prefix}{name}.")
        else:
            default = "needed" if field.is_required() else repr(field.default)
            found.append((prefix + name, default))
    return found


def test_table_in_docs_has_every_setting_and_its_default():
    rows = re.findall(
        r"^\| `([\w.]+)` \| `?([^|`]*)`? \| .+ \|$", TABLE.read_text(), re.M
    )
    assert rows == list_fields(DaemonSettings)
