"""Bounds on label values of the serving processes' metrics."""

from wharfcart.observability.serving_metrics import MAX_TENANT_LABELS, OTHER_LABELS, ServingMetrics


def test_tenants_beyond_the_bound_share_one_label() -> None:
    metrics = ServingMetrics()
    for number in range(MAX_TENANT_LABELS + 5):
        metrics.limited_requests.add(f"t{number}")
        metrics.limited_requests.add("t0")
    text = metrics.render().decode()
    shown = [line for line in text.splitlines() if line.startswith("wharfcart_limited_total{")]
    assert len(shown) == MAX_TENANT_LABELS + 1
    assert f'wharfcart_limited_total{{tenant="{OTHER_LABELS}"}} 5.0' in shown
    assert f'wharfcart_limited_total{{tenant="t0"}} {MAX_TENANT_LABELS + 6}.0' in shown
