"""Reconciliation of engines with the configuration."""
