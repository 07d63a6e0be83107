"""Decides when a failing batch item is given up. Pure."""

# Multiplies the attempts of an item that failed at back ends that fail other items too.
UNTRUSTED_ATTEMPTS_FACTOR = 2


def has_failed_permanently(
    failures: int, failed_backends: int, trusted_backends: int, max_attempts: int
) -> bool:
    """Whether an item is given up.

    Args:
        failures: number of answers that reported a failure.
        failed_backends: number of different back ends that gave them.
        trusted_backends: number of those back ends that are not failing otherwise.
        max_attempts: attempts that the job's route allows.
    """
    if trusted_backends >= max_attempts or failed_backends < failures:
        return failures >= max_attempts
    return failures >= max_attempts * UNTRUSTED_ATTEMPTS_FACTOR
