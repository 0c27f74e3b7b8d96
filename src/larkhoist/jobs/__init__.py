"""Define staged jobs, their records on the log and the state built from these."""
