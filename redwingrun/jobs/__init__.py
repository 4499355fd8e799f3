"""Jobs of many tasks: acceptance, ownership, placement, progress and results."""
