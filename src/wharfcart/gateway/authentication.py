"""Authentication of callers by API key."""

from wharfcart.configuration.serving import ServedTenant, ServingConfiguration

STATUS_UNAUTHORIZED = 401
STATUS_UNAVAILABLE = 503
# After this time without updates, an unknown key may belong to a newer configuration.
MAX_CONFIGURATION_AGE_S = 1.5


class CallerRefusedError(Exception):
    """The caller is not authorized, or this node can't decide whether it is.

    Attributes:
        status: HTTP status of the response.
        cause: Cause for the decision log.
    """

    def __init__(self, status: int, cause: str) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause


def authenticate(
    configuration: ServingConfiguration, api_key: str, public: bool, configuration_age_s: float
) -> ServedTenant | None:
    """Return the tenant of an API key, or None if no key is needed and the key is not known.

    Args:
        configuration: Configuration in force at this node.
        api_key: Key in the request, or ''.
        public: The call needs no key.
        configuration_age_s: Seconds since the configuration was last confirmed as the newest.

    Raises:
        CallerRefusedError: A key is needed and no tenant has this one.
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
