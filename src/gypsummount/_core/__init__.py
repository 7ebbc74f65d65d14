"""Decision logic without I/O; callers pass in the current time."""
