"""The edge process, which runs an instance's entry and agent together."""
