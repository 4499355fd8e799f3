"""Stand-in servers for the platform, minions and workers, for tests and the lab."""
