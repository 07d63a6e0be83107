"""Modules that the soak loads into the processes that it starts."""
