"""The agent process: store access, gossip, ledgers and rollouts."""
