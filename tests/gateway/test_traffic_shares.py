"""Weighted splits."""

from collections import Counter

from wharfcart.configuration.serving import Route, RouteKind, TrafficShare
from wharfcart.gateway.traffic_shares import TrafficSplitter


def test_each_service_gets_its_share_in_every_window() -> None:
    shares = (TrafficShare("a", 90), TrafficShare("b", 10))
    route = Route("r", "h", "/", RouteKind.REPEATABLE, shares, 1.0, 0.1)
    splitter = TrafficSplitter()
    served = [splitter.service_for(route) for _ in range(400)]
    for start in range(0, 300, 50):
        part = Counter(served[start : start + 100])
        assert 7 <= part["b"] <= 13
