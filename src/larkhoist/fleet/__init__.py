"""Decide where and when the tasks of staged jobs run; pure, without I/O."""
