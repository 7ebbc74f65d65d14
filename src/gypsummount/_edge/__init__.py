"""The edge process: entry and agent of one instance in one process."""
