"""Dispatch small requests: queueing, routing, retries and claims."""
