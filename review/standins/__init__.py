"""Stand-ins for the platform, the servers and the clients of a review case."""
