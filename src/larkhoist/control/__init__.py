"""Hold the tasks that keep, answer for and run staged jobs."""
