"""Run staged jobs: the log streams, job calls, leadership and worker sessions."""
