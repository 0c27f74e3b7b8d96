"""The daemon of an entry instance: tasks, HTTP server and peer link."""
