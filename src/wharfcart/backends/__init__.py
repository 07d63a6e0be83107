"""Clients of engines and application servers, and the connection pool."""
