"""Check that the documented result codes are those of the code."""

import re
from pathlib import Path

from larkhoist.codes import Code, describe_code, get_http_status

TABLE = Path(__file__).parent.parent / "docs" / "RESULT-CODES.md"


def test_table_in_docs_is_the_table_in_code():
    rows = re.findall(
        r"^\| (\d+) \| (\w+) \| (\d+) \| (.+) \|$", TABLE.read_text(), re.M
    )
    expected = [
        (str(code.value), code.name, str(get_http_status(code)), describe_code(code))
        for code in Code
    ]
    assert rows == expected
