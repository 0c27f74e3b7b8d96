"""Order the jobs of a data hall and run gangs whole."""
