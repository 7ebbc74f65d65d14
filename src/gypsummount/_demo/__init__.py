"""Demo: the complete system in one process on loopback."""
