"""Who a caller is: the tenant whose key it shows."""

from wharfcart.configuration.serving import ServedTenant, ServingConfiguration

STATUS_UNAUTHORIZED = 401
STATUS_UNAVAILABLE = 503
# A key that this node does not know may be newer than the configuration that it has: news come
# within a part of a second unless this node is cut off.
MAX_CONFIGURATION_AGE_S = 1.5


class CallerRefusedError(Exception):
    """A caller may not call, or it is not known whether it may.

    Attributes:
        status: of the answer.
        cause: as it is logged.
    """

    def __init__(self, status: int, cause: str) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause


def authenticate(
    configuration: ServingConfiguration, api_key: str, public: bool, configuration_age_s: float
) -> ServedTenant | None:
    """Return the tenant that calls; None where no key is needed and no known one is shown.

    Args:
        configuration: in force at this node.
        api_key: that the caller shows, or ''.
        public: the call needs no key.
        age_s: since the configuration was last confirmed to be the newest.

    Raises:
        CallerRefusedError: a key is needed and nobody has this one.
    """
    if configuration.tenants is None:
        return None
    tenant = configuration.tenants.find_by_key(api_key) if api_key else None
    if tenant is not None or public:
        return tenant
    if not api_key:
        raise CallerRefusedError(STATUS_UNAUTHORIZED, "no_key")
    if configuration_age_s > MAX_CONFIGURATION_AGE_S:
        raise CallerRefusedError(STATUS_UNAVAILABLE, "unknown_key_while_cut_off")
    raise CallerRefusedError(STATUS_UNAUTHORIZED, f"unknown_key_in_version_{configuration.version}")
