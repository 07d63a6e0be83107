"""Reconciler of engines with the configuration."""
