"""Batch jobs: scheduling and execution of items."""
