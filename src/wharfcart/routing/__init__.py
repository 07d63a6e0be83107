"""Routing: selection of back ends, forwarding of requests, crash detection."""
