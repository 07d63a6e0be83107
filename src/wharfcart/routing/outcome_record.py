"""How a back end's latest answers turned out, as counts that fade.

A back end that fails at once looks empty and draws all work to itself, whatever its health check
says. Only its answers tell; each node sees few of them, so nodes add up their records over the load
board.

Pure: time is handed in as seconds.
"""

import math
from dataclasses import dataclass

FADE_S = 3.0
# So many failures, and such a share of all answers, speak against a back end.
FEWEST_FAILURES = 1.5
SUSPECT_SHARE = 0.3


@dataclass
class OutcomeRecord:
    """Faded counts of one back end at one node."""

    _good: float = 0.0
    _bad: float = 0.0
    _at: float = 0.0

    def add(self, good: bool, now: float) -> None:
        """Count one answer."""
        self._good, self._bad = self.counts(now)
        self._at = now
        if good:
            self._good += 1
        else:
            self._bad += 1

    def counts(self, now: float) -> tuple[float, float]:
        """Return the faded numbers of good and of failed answers."""
        fade = math.exp(-(now - self._at) / FADE_S)
        return self._good * fade, self._bad * fade


def is_suspect(good: float, bad: float) -> bool:
    """Whether counts, summed over nodes, speak against a back end."""
    return bad >= FEWEST_FAILURES and bad / (good + bad) >= SUSPECT_SHARE
