"""Stand-in servers for the platform, its object store and upstreams."""
