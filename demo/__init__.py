"""Start the stand-ins and three instances, and show the system at work."""
