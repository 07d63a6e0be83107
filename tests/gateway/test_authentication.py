"""Who a caller is."""

import pytest

from wharfcart.configuration.api_keys import digest_of
from wharfcart.configuration.serving import ServedTenant, ServingConfiguration, TenantIndex
from wharfcart.gateway.authentication import (
    MAX_CONFIGURATION_AGE_S,
    CallerRefusedError,
    authenticate,
)

TENANT = ServedTenant("t", (digest_of("k"),))


def configuration(*tenants: ServedTenant) -> ServingConfiguration:
    return ServingConfiguration(7, (), {}, tenants=TenantIndex(tenants))


def refusal(api_key: str, age_s: float = 0.0) -> tuple[int, str]:
    with pytest.raises(CallerRefusedError) as refused:
        authenticate(configuration(TENANT), api_key, False, age_s)
    return refused.value.status, refused.value.cause


def test_known_key_identifies_its_tenant() -> None:
    assert authenticate(configuration(TENANT), "k", False, 0.0) == TENANT
    assert authenticate(configuration(TENANT), "k", False, 1000.0) == TENANT


def test_unknown_key_gets_401_only_if_the_configuration_is_recent() -> None:
    assert refusal("x") == (401, "unknown_key_in_version_7")
    assert refusal("x", MAX_CONFIGURATION_AGE_S * 2) == (503, "unknown_key_while_cut_off")


def test_missing_key_gets_401_at_any_configuration_age() -> None:
    assert refusal("", MAX_CONFIGURATION_AGE_S * 2) == (401, "no_key")


def test_public_route_needs_no_key_but_accepts_a_known_one() -> None:
    assert authenticate(configuration(TENANT), "", True, 0.0) is None
    assert authenticate(configuration(TENANT), "x", True, 0.0) is None
    assert authenticate(configuration(TENANT), "k", True, 0.0) == TENANT


def test_no_key_is_needed_without_tenants() -> None:
    assert authenticate(ServingConfiguration(7, (), {}), "x", False, 0.0) is None


def test_removed_key_works_again_once_restored() -> None:
    with pytest.raises(CallerRefusedError):
        authenticate(configuration(ServedTenant("t")), "k", False, 0.0)
    assert authenticate(configuration(TENANT), "k", False, 0.0) == TENANT
