"""Decaying counts of a back end's recent successes and failures.

A back end that fails every request at once looks idle and attracts all load, even if its health
check passes. Only its answers show the failure. Each node sees few of them, so holders report
theirs to the granting node, whose load snapshots name the back ends to avoid.

This module does no I/O; callers pass in the time in seconds.
"""

import math
from dataclasses import dataclass

DECAY_S = 3.0
# A back end is failing from this (decayed) number of failures and share of all answers.
MIN_FAILURES = 1.5
FAILING_SHARE = 0.3


@dataclass
class OutcomeRecord:
    """Decayed counts of one back end at one node."""

    _successes: float = 0.0
    _failures: float = 0.0
    _updated_at: float = 0.0

    def add(self, succeeded: bool, now: float) -> None:
        """Count one outcome."""
        self._successes, self._failures = self.counts(now)
        self._updated_at = now
        if succeeded:
            self._successes += 1
        else:
            self._failures += 1

    def counts(self, now: float) -> tuple[float, float]:
        """Return the decayed numbers of successes and failures."""
        decay = math.exp(-(now - self._updated_at) / DECAY_S)
        return self._successes * decay, self._failures * decay


def counts_as_failing(successes: float, failures: float) -> bool:
    """Whether decayed counts mark a back end as failing."""
    return failures >= MIN_FAILURES and failures / (successes + failures) >= FAILING_SHARE
