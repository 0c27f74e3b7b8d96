"""Run the decisions as one process on every entry instance."""
