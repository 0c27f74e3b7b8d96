"""Replay days of load on the real scheduler with a virtual clock and no sockets."""
