"""Track the peers of an instance and decide whether it may serve or own its hall."""
