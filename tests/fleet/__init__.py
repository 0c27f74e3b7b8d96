"""Prove the scheduler of staged jobs on a passed clock."""
