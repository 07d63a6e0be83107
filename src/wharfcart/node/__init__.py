"""One node: the drivers put together."""
