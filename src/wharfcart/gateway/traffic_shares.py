"""Splitting a route's requests among services by weight."""

from random import random

from wharfcart.configuration.serving import Route

# Successive multiples of the golden ratio, modulo 1, are spread evenly over any stretch of
# requests.
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949


class TrafficSplitter:
    """Gives each part of a split its share, within one or two requests over any stretch."""

    def __init__(self) -> None:
        self._position_by_route: dict[str, float] = {}

    def service_for(self, route: Route) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.shares) == 1:
            return route.shares[0].service
        position = self._position_by_route.get(route.name)
        position = random() if position is None else (position + GOLDEN_RATIO_CONJUGATE) % 1.0
        self._position_by_route[route.name] = position
        left = position * sum(share.weight for share in route.shares)
        for share in route.shares:
            left -= share.weight
            if left < 0:
                return share.service
        return route.shares[-1].service
