"""Emulated back ends and platform services, with fault injection."""
