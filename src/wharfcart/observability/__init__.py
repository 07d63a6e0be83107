"""Logs and metrics of one process."""
