"""Stand-ins for the platform, its minions and its clients, and a cell of processes."""
