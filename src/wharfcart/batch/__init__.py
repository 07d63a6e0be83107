"""Batch jobs: scheduling and running of items."""
