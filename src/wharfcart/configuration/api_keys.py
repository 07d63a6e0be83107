"""API keys: maps the key of a caller to its tenant.

Keys are never stored; lookups and logs use their digests.
"""

import hashlib
from typing import NewType

KeyDigest = NewType("KeyDigest", str)

# Hexadecimal digits of a digest in logs: enough to tell keys apart, too few to reveal a key.
SHORT_DIGEST_DIGITS = 8


def digest_of(api_key: str) -> KeyDigest:
    """Return the hexadecimal SHA-256 digest of a key."""
    return KeyDigest(hashlib.sha256(api_key.encode()).hexdigest())


def short_digest_of(api_key: str) -> str:
    """Return the shortened digest that identifies a key in logs; '' for no key."""
    return digest_of(api_key)[:SHORT_DIGEST_DIGITS] if api_key else ""


class KeyIndex:
    """Index of tenants by the digests of their keys."""

    def __init__(self) -> None:
        self._tenant_by_digest: dict[KeyDigest, str] = {}

    def add(self, digest: KeyDigest, tenant: str) -> None:
        """Assign a key to a tenant."""
        self._tenant_by_digest[digest] = tenant

    def remove(self, digest: KeyDigest) -> None:
        """Remove a key."""
        self._tenant_by_digest.pop(digest, None)

    def tenant_of(self, api_key: str) -> str | None:
        """Return the name of a key's tenant, or None if the key is unknown."""
        return self._tenant_by_digest.get(digest_of(api_key))
