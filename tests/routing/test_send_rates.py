"""Rates of sends."""

import pytest

from wharfcart.routing.send_rates import SendRates


def test_rate_of_a_steady_stream() -> None:
    rates = SendRates()
    for n in range(200):
        rates.record("lm", n / 10)
    assert rates.rate("lm", 20.0) == pytest.approx(10, rel=0.1)
    assert rates.rates(20.0).keys() == {"lm"}


def test_rate_decays_after_the_stream_stops() -> None:
    rates = SendRates()
    rates.record("lm", 0.0)
    assert rates.rates(20.0) == {}
