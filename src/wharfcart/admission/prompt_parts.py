"""Parts of prompts that requests share, by which crashes of back ends can be explained."""

from collections.abc import Sequence
from hashlib import blake2b
from typing import NewType

# Service and id of a part: the same part may be sound at another service.
PromptPartKey = NewType("PromptPartKey", str)

# Bounds the evidence of one request.
MAX_PARTS_PER_REQUEST = 32
MAX_PART_ID_CHARACTERS = 32
DIGEST_BYTES = 16


def shared_part_keys(service: str, part_ids: Sequence[str]) -> tuple[PromptPartKey, ...]:
    """Return the keys of a prompt's parts that other requests may share.

    Args:
        service: service that runs the request.
        part_ids: ids of all parts in order; the last one belongs to the request or its session.
    """
    distinct = dict.fromkeys(part_ids[:-1][:MAX_PARTS_PER_REQUEST])
    return tuple(PromptPartKey(f"{service}/{_short(part_id)}") for part_id in distinct)


def _short(part_id: str) -> str:
    """Return an id of bounded length: long ids are replaced by a digest."""
    if len(part_id) <= MAX_PART_ID_CHARACTERS:
        return part_id
    digest = blake2b(part_id.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES)
    return digest.hexdigest()
