"""Ids of files and jobs: each names the journal shard that keeps it."""

import uuid

SHARD_DIGITS = 4
FILE_PREFIX = "file-"
JOB_PREFIX = "batch_"


def shard_of_id(id_: str) -> int | None:
    """Return the shard that an id of a file or job names, or None if it is none of ours."""
    for prefix in (FILE_PREFIX, JOB_PREFIX):
        if id_.startswith(prefix):
            digits = id_.removeprefix(prefix)[:SHARD_DIGITS]
            try:
                return int(digits, 16)
            except ValueError:
                return None
    return None


def new_id(prefix: str, shard: int) -> str:
    """Return a fresh id on a shard."""
    return f"{prefix}{shard:0{SHARD_DIGITS}x}{uuid.uuid4().hex[:20]}"
