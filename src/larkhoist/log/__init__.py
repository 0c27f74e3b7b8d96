"""Replicate state through the log: records, their fold, snapshots and group commit."""
