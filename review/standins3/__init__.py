"""Stand-ins for the platform, its workers, its clients and its operator."""
