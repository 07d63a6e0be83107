"""Network addresses in the settings of all processes: ``host:port``.

Loads nothing, as every serving process needs it at its start.
"""

ENDPOINT_PATTERN = r"[0-9a-fA-F.:\[\]]+:\d{1,5}"


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return host and port."""
    host, port = endpoint.rsplit(":", 1)
    return host.strip("[]"), int(port)
