"""The agent process - store, peers, ledgers and rollouts."""
