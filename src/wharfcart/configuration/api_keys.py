"""API keys: which tenant a caller is, by the key that it shows.

A key itself is kept nowhere: it is looked up, and named in logs, by its digest.
"""

import hashlib
from typing import NewType

KeyDigest = NewType("KeyDigest", str)

# Hexadecimal digits of a digest that tell keys apart in a log, and nobody what the key is.
SHORT_DIGEST_DIGITS = 8


def digest_of(api_key: str) -> KeyDigest:
    """Return the SHA-256 of a key, hexadecimal."""
    return KeyDigest(hashlib.sha256(api_key.encode()).hexdigest())


def short_digest_of(api_key: str) -> str:
    """Return what stands for a key in a log; '' for no key."""
    return digest_of(api_key)[:SHORT_DIGEST_DIGITS] if api_key else ""


class KeyIndex:
    """Tenants by the digests of their keys."""

    def __init__(self) -> None:
        self._tenant_by_digest: dict[KeyDigest, str] = {}

    def add(self, digest: KeyDigest, tenant: str) -> None:
        """Let a key stand for a tenant."""
        self._tenant_by_digest[digest] = tenant

    def remove(self, digest: KeyDigest) -> None:
        """Let a key stand for nobody."""
        self._tenant_by_digest.pop(digest, None)

    def tenant_of(self, api_key: str) -> str | None:
        """Return the name of a key's tenant; None if nobody has the key."""
        return self._tenant_by_digest.get(digest_of(api_key))
