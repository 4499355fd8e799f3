"""Tools for development: a cell on the loopback address, a demo, load and faults."""
