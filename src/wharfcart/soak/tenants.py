"""The tenants of a soak: one without a limit, and one that sends several times what it may."""

from typing import Any, NamedTuple

from wharfcart.emulator.operator_documents import example_tenant


class SoakTenant(NamedTuple):
    """A tenant and its key."""

    name: str
    key: str


UNLIMITED_TENANT = SoakTenant("steady", "key-of-steady")
LIMITED_TENANT = SoakTenant("hot", "key-of-hot")
# Requests of the hot tenant begin so; no others do.
LIMITED_REQUEST_PREFIX = "hot-"
LIMITED_REQUESTS_PER_SECOND = 4.0
LIMITED_BURST_REQUESTS = 4.0


def tenant_documents() -> list[dict[str, Any]]:
    """Return both as the operator writes them."""
    return [
        example_tenant(UNLIMITED_TENANT.name, UNLIMITED_TENANT.key),
        example_tenant(
            LIMITED_TENANT.name,
            LIMITED_TENANT.key,
            ratePerS=LIMITED_REQUESTS_PER_SECOND,
            burst=LIMITED_BURST_REQUESTS,
        ),
    ]


def tenant_of(request_id: str) -> SoakTenant:
    """Return whose request an id is."""
    return LIMITED_TENANT if request_id.startswith(LIMITED_REQUEST_PREFIX) else UNLIMITED_TENANT
