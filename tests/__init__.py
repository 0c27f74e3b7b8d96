"""Prove the decisions on the pure core and the promises on real processes."""
