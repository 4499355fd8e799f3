"""Coordination parts over a table with compare-and-set, for any program to embed.

Member leases, shard ownership with fencing, group commit, the at-most-once
ledger, the configuration follower, task leases and the verdict. The package
imports nothing from the daemons. ``docs/EMBEDDING.md`` shows how to use it.
"""
