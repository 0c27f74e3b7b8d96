"""Hold staged jobs: what they ask for, and their state as the log tells it."""
