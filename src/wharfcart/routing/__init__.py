"""Which back end a request goes to."""
