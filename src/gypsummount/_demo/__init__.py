"""The whole system in one process on loopback."""
