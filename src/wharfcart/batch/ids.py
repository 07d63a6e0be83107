"""Ids of files and jobs; each contains the number of the journal shard that stores it."""

import uuid

SHARD_DIGITS = 4
FILE_PREFIX = "file-"
JOB_PREFIX = "batch_"


def shard_of_id(id_: str) -> int | None:
    """Return the shard number in an id of a file or job, or None if the id is malformed."""
    for prefix in (FILE_PREFIX, JOB_PREFIX):
        if id_.startswith(prefix):
            digits = id_.removeprefix(prefix)[:SHARD_DIGITS]
            try:
                return int(digits, 16)
            except ValueError:
                return None
    return None


def new_id(prefix: str, shard: int) -> str:
    """Return a new id on a shard."""
    return f"{prefix}{shard:0{SHARD_DIGITS}x}{uuid.uuid4().hex[:20]}"
