"""Find accelerators for jobs, with guarantees kept."""
