"""Coordination primitives on a table with compare-and-set, for use in any program.

Member leases, shard ownership with fencing, group commit, the at-most-once
ledger, versioned configuration, task leases and request verdicts. The package
imports nothing from the daemons. ``docs/EMBEDDING.md`` shows how to use it.
"""
