"""Run the proofs of all promises and print a line of evidence for each."""

import sys

import pytest

if __name__ == "__main__":
    sys.exit(pytest.main(["-m", "promise", *sys.argv[1:]]))
