"""Clients for engines and application servers."""
