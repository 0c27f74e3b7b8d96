"""Meet the ports over HTTP."""
