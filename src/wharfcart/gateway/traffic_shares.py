"""Weighted splits of a route's requests among services."""

from random import random

from wharfcart.configuration.serving import Route

# Multiples of it modulo 1 are a low-discrepancy sequence: evenly spread over any run of requests.
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949


class TrafficSplitter:
    """Assigns requests to services so that every run of requests matches the weights closely."""

    def __init__(self) -> None:
        self._position_by_route: dict[str, float] = {}

    def service_for(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        position = self._position_by_route.get(route.name)
        position = random() if position is None else (position + GOLDEN_RATIO_CONJUGATE) % 1.0
        self._position_by_route[route.name] = position
        remaining = position * sum(share.weight for share in route.shares)
        for share in route.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return route.shares[-1].service
