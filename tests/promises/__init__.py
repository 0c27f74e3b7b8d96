"""Test each promise on real processes and on the scheduling core alone."""
