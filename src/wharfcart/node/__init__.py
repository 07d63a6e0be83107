"""Processes of a fleet: nodes, gateways, storage nodes."""
