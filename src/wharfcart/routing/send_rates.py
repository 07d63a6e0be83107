"""How many requests a second a node sends to each service, as a decaying average.

Pure: time is handed in as seconds.
"""

import math
from dataclasses import dataclass, field

DECAY_S = 2.0
# Rates below this are not worth telling.
MIN_REPORTED_RATE_PER_S = 0.05


@dataclass
class SendRates:
    """Rates of one node."""

    _rates: dict[str, tuple[float, float]] = field(default_factory=dict)  # rate, at

    def record(self, service: str, now: float) -> None:
        """Count one request."""
        self._rates[service] = (self.rate(service, now) + 1 / DECAY_S, now)

    def rate(self, service: str, now: float) -> float:
        """Return the requests a second to a service."""
        rate, at = self._rates.get(service, (0.0, now))
        return rate * math.exp(-(now - at) / DECAY_S)

    def rates(self, now: float) -> dict[str, float]:
        """Return the rates of all services that are sent to."""
        rates = {service: self.rate(service, now) for service in self._rates}
        return {service: rate for service, rate in rates.items() if rate >= MIN_REPORTED_RATE_PER_S}
