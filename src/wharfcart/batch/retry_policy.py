"""When a batch item that keeps failing is given up. Pure."""

# An item that failed where much fails is tried more often, by this factor.
UNTRUSTED_ATTEMPTS_FACTOR = 2


def has_failed_permanently(
    failures: int, failed_backends: int, trusted_backends: int, max_attempts: int
) -> bool:
    """Whether an item is to be given up.

    Args:
        failures: answers that said that it failed.
        failed_backends: different back ends that gave these.
        trusted_backends: those of them that do well otherwise.
        max_attempts: attempts that the job's route allows.
    """
    if trusted_backends >= max_attempts or failed_backends < failures:
        return failures >= max_attempts
    return failures >= max_attempts * UNTRUSTED_ATTEMPTS_FACTOR
