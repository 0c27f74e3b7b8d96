"""Define typed interfaces (ports) to the systems that larkhoist depends on."""
