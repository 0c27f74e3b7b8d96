"""Decide which instance owns a data hall."""
