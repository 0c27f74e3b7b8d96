"""Simulate the platform, its workers and upstreams for tests; not shipped."""
