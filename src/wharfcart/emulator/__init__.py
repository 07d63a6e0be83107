"""Stand-ins for the systems around wharfcart, and fault injection."""
