"""Command line over the HTTP interfaces, and commands that start processes."""
