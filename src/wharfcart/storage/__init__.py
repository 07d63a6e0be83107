"""Replicated journal: logs, state machine, database."""
