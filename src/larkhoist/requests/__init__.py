"""Decide what happens to one small request."""
