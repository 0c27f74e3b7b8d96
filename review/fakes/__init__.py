"""Stand-ins for the platform's store, runners and consumers, for the review's cases."""
