"""Object store: abstract interface, HTTP client, in-memory version."""
