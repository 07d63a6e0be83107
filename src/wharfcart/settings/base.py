"""Network addresses in the settings of all processes: ``host:port``.

Imports nothing, since every serving process loads this module at startup.
"""

ENDPOINT_PATTERN = r"[0-9a-fA-F.:\[\]]+:\d{1,5}"


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port."""
    host, port = endpoint.rsplit(":", 1)
    return host.strip("[]"), int(port)
