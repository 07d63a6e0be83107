"""Cluster membership, synchronization of shared state, and calls between nodes."""
