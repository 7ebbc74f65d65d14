"""Infrastructure that the programs share: settings, logs, servers."""
