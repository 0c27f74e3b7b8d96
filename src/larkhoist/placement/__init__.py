"""Find accelerators for jobs and check that guarantees can be met."""
