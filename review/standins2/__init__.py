"""Stand-ins for the users' platform, minions and clients, in the standard library."""
