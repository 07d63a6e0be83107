"""Membership, ownership and calls between nodes."""
