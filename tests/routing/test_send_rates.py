"""Rates of sends."""

import pytest

from wharfcart.routing.send_rates import SendRates


def test_a_steady_stream_is_told_as_its_rate() -> None:
    rates = SendRates()
    for n in range(200):
        rates.sent("lm", n / 10)
    assert rates.rate("lm", 20.0) == pytest.approx(10, rel=0.1)
    assert rates.rates(20.0).keys() == {"lm"}


def test_a_stream_that_has_ended_fades() -> None:
    rates = SendRates()
    rates.sent("lm", 0.0)
    assert rates.rates(20.0) == {}
