"""What makes two requests the same beyond one attempt: their content.

Callers that repeat a request give each attempt an id of its own and may come to any gateway. What
a back end does with it depends on what it reads, so that is what a request is known by.
"""

from hashlib import blake2b
from typing import NewType

# Digest of host, method, target, tenant and body, in hex.
RequestFingerprint = NewType("RequestFingerprint", str)

# Long enough that nobody finds two contents with one digest, and so has another's request refused.
DIGEST_BYTES = 16
LENGTH_PREFIX_BYTES = 8


def fingerprint_of(
    host: str, method: str, target: str, tenant: str, body: bytes
) -> RequestFingerprint:
    """Return what a request is known by; a tenant's requests are never those of another.

    Args:
        host: that it was sent to.
        method: of the request.
        target: path and query.
        tenant: whose request it is, or ''.
        body: whole.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (host, method, target, tenant):
        _update_with_length(digest, text.encode("utf-8", "surrogateescape"))
    _update_with_length(digest, body)
    return RequestFingerprint(digest.hexdigest())


def _update_with_length(digest: blake2b, part: bytes) -> None:
    """Add a part with its length: two parts never run into each other."""
    digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
    digest.update(part)
