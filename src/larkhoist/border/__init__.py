"""Validate input from outside: settings and intent files."""
