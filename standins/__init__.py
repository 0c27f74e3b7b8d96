"""Stand in for the platform, its workers and upstreams; not shipped."""
