"""Run a small cluster of stand-ins and instances, and demonstrate its functions."""
