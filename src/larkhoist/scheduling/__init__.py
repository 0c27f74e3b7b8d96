"""Schedule the jobs of a data hall, with all members of a gang or none."""
