"""Replicated storage: job groups, and the journal with its logs, state machine and database."""
