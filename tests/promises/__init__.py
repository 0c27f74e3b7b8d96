"""Prove each promise on real processes and on the pure core."""
