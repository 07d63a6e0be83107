"""Forwarding of resumable streams: which events count as received by the caller."""
