"""When a batch item that keeps failing is given up. Pure."""

# An item that failed where much fails is tried more often, by this factor.
UNTRUSTED_ATTEMPTS_FACTOR = 2


def has_failed_for_good(failures: int, failed_at: int, trusted: int, allowed: int) -> bool:
    """Whether an item is to be given up.

    Args:
        failures: answers that said that it failed.
        failed_at: different back ends that gave these.
        trusted: those of them that do well otherwise.
        allowed: attempts that the job's route allows.
    """
    if trusted >= allowed or failed_at < failures:
        return failures >= allowed
    return failures >= allowed * UNTRUSTED_ATTEMPTS_FACTOR
