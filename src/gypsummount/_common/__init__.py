"""Settings, logs and metrics shared by the programs."""
