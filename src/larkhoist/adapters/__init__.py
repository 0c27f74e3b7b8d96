"""Implement the ports over HTTP."""
