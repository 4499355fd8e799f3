"""Jobs of many tasks: submission, ownership, placement and progress."""
