"""A cluster scheduler for unlike workloads in one cell."""

__version__ = "0.1.0"
