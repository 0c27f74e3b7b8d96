"""Test the tasks that keep staged jobs against a log in memory."""
