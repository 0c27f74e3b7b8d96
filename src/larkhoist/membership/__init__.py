"""Know which instances, workers and upstreams are there."""
