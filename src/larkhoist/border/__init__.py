"""Check what comes in from outside with validated models."""
