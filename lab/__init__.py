"""Scratch tools apart from the package: a cell on loopback, the demo, load."""
