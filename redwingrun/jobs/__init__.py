"""Batch jobs of many tasks: submission, ownership, placement, progress, results."""
