"""Run the tests of all promises and print a line of results for each."""

import sys

import pytest

if __name__ == "__main__":
    sys.exit(pytest.main(["-m", "promise", *sys.argv[1:]]))
