"""State what the system needs from outside, as typed ports."""
