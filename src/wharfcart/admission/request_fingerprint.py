"""Fingerprints that identify a request over all of its attempts.

A caller that retries a request uses a new request id for each attempt and may reach any gateway, so
an id does not identify the request. The fingerprint is a digest of what a back end receives.
"""

from hashlib import blake2b
from typing import NewType

# Hex digest of host, method, target, tenant and body.
RequestFingerprint = NewType("RequestFingerprint", str)

# Collision resistant: no tenant can get another tenant's request quarantined.
DIGEST_BYTES = 16
LENGTH_PREFIX_BYTES = 8


def fingerprint_of(
    host: str, method: str, target: str, tenant: str, body: bytes
) -> RequestFingerprint:
    """Return the fingerprint of a request; those of two tenants always differ.

    Args:
        host: host of the route.
        method: HTTP method.
        target: path and query.
        tenant: name of the tenant, or ''.
        body: complete body.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (host, method, target, tenant):
        _update_with_length(digest, text.encode("utf-8", "surrogateescape"))
    _update_with_length(digest, body)
    return RequestFingerprint(digest.hexdigest())


def _update_with_length(digest: blake2b, part: bytes) -> None:
    """Add a part with a length prefix, so that the boundaries of parts are unambiguous."""
    digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
    digest.update(part)
