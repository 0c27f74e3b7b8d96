"""Talk to the system as an operator."""
