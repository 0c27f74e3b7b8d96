"""Test the control of staged jobs with a log in memory."""
