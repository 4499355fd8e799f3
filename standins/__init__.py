"""Small stand-ins for the platform's services, minions and workers."""
