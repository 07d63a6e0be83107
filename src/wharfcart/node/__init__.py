"""Processes of a fleet: nodes, gateways and storage nodes."""
