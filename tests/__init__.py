"""Test decisions in isolation, and the promises on clusters of real processes."""
