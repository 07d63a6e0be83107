"""How a back end's latest answers turned out, as counts that fade.

A back end that fails at once looks empty and draws all work to itself, whatever its health check
says. Only its answers tell; each node sees few of them, so nodes add up their records over the load
board.

Pure: time is handed in as seconds.
"""

import math
from dataclasses import dataclass

DECAY_S = 3.0
# So many failures, and such a share of all answers, speak against a back end.
MIN_FAILURES = 1.5
FAILING_SHARE = 0.3


@dataclass
class OutcomeRecord:
    """Faded counts of one back end at one node."""

    _successes: float = 0.0
    _failures: float = 0.0
    _updated_at: float = 0.0

    def add(self, succeeded: bool, now: float) -> None:
        """Count one answer."""
        self._successes, self._failures = self.counts(now)
        self._updated_at = now
        if succeeded:
            self._successes += 1
        else:
            self._failures += 1

    def counts(self, now: float) -> tuple[float, float]:
        """Return the faded numbers of good and of failed answers."""
        fade = math.exp(-(now - self._updated_at) / DECAY_S)
        return self._successes * fade, self._failures * fade


def counts_as_failing(successes: float, failures: float) -> bool:
    """Whether counts, summed over nodes, speak against a back end."""
    return failures >= MIN_FAILURES and failures / (successes + failures) >= FAILING_SHARE
