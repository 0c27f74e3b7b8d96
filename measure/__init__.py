"""Measure the decisions against plain baselines, and what they cost."""
