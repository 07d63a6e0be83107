"""Modules that the soak loads into the processes it starts."""
