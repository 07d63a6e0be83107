"""Command line: a thin edge over the HTTP interfaces and the processes."""
