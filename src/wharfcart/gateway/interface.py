"""What the gateway needs of its node."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from sanic.response import HTTPResponse

from wharfcart.admission.limiter import Limiter
from wharfcart.batch.jobs import BatchApiService
from wharfcart.configuration.services import ServiceIndex
from wharfcart.gateway.idempotency import IdempotencyService
from wharfcart.observability.metrics import Metrics


@dataclass(frozen=True)
class GatewayContext:
    """Parts of a node that the gateway's handlers use."""

    node_id: str
    services: ServiceIndex
    limiter: Limiter
    idempotency: IdempotencyService
    jobs: BatchApiService
    metrics: Metrics
    is_ready: Callable[[], bool]
    max_file_bytes: int


@dataclass(frozen=True)
class HttpRoute:
    """One handler and where it belongs.

    ``streams_in``: the handler reads the body itself, as it arrives.
    """

    handler: Callable[..., Awaitable[HTTPResponse | None]]
    path: str
    method: str
    streams_body: bool = False
