"""HTTP server of the gateway: Sanic on the node's event loop, without worker processes."""

import asyncio
import hmac
import logging
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from functools import wraps
from typing import Any

from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import BaseHTTPResponse, HTTPResponse, raw, text
from sanic.server.async_server import AsyncioServer

from wharfcart.configuration.api_keys import digest_of
from wharfcart.errors import FindingsError, Outcome, ServingError
from wharfcart.gateway.batches import BatchHandlers
from wharfcart.gateway.interface import GatewayContext, HttpRoute
from wharfcart.gateway.online import OnlineHandlers, new_request_id
from wharfcart.gateway.responses import error_response, request_id_of
from wharfcart.observability.logs import RequestContext, request_context

MAX_BODY_BYTES = 16 * 1024 * 1024
RESPONSE_TIMEOUT_S = 3600
REQUEST_TIMEOUT_S = 600
KEEP_ALIVE_TIMEOUT_S = 75
DRAIN_POLL_INTERVAL_S = 0.02
UNAUTHENTICATED_PATHS = ("/healthz", "/readyz", "/metrics")
ADMIN_PREFIX = "/admin/"
_ROUTE_NAME_TABLE = str.maketrans("/<>:", "____")

logger = logging.getLogger(__name__)


class GatewayServer:
    """HTTP server of one node for callers, operators and health checks.

    Attributes:
        draining: The server accepts no new connections and reports that it is not ready.
        app: The Sanic application.
    """

    def __init__(self, context: GatewayContext, admin_key_sha256: str) -> None:
        self._context = context
        self._admin_key_sha256 = admin_key_sha256
        self._server: AsyncioServer | None = None
        self._in_progress = 0
        self.draining = False
        self.app: Sanic[Any, Any] = Sanic(
            f"wharfcart-{context.node_id.replace('.', '-')}-{id(self)}", configure_logging=False
        )
        self.app.config.update(
            REQUEST_MAX_SIZE=MAX_BODY_BYTES,
            RESPONSE_TIMEOUT=RESPONSE_TIMEOUT_S,
            REQUEST_TIMEOUT=REQUEST_TIMEOUT_S,
            KEEP_ALIVE_TIMEOUT=KEEP_ALIVE_TIMEOUT_S,
            ACCESS_LOG=False,
            MOTD=False,
            TOUCHUP=False,  # it rewrites classes that several nodes in one process share
        )
        self.app.register_middleware(self._on_request, "request")
        self.app.register_middleware(self._on_response, "response")
        self.app.exception(Exception)(self._on_exception)
        self.add_routes(OnlineHandlers(context).routes())
        self.add_routes(BatchHandlers(context).routes())
        self.add_routes(
            [
                HttpRoute(self._health, "/healthz", "GET"),
                HttpRoute(self._readiness, "/readyz", "GET"),
                HttpRoute(self._metrics, "/metrics", "GET"),
            ]
        )

    def add_routes(self, routes: Iterable[HttpRoute]) -> None:
        """Add handlers; a request counts as in progress until its handler returns."""
        for route in routes:
            self.app.add_route(
                self._track_in_progress(route.handler),
                route.path,
                methods=[route.method],
                stream=route.streams_body,
                name=f"{route.method}-{route.path}".translate(_ROUTE_NAME_TABLE),
            )

    def _track_in_progress(
        self, handler: Callable[..., Awaitable[HTTPResponse | None]]
    ) -> Callable[..., Coroutine[Any, Any, HTTPResponse | None]]:
        @wraps(handler)
        async def counted(request: Request, **arguments: Any) -> HTTPResponse | None:
            self._in_progress += 1
            try:
                return await handler(request, **arguments)
            finally:
                self._in_progress -= 1

        return counted

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        server = await self.app.create_server(
            host=host, port=port, return_asyncio_server=True, asyncio_server_kwargs=None
        )
        assert server is not None
        self._server = server
        await server.startup()  # type: ignore[no-untyped-call]
        await server.start_serving()  # type: ignore[no-untyped-call]

    async def drain(self) -> None:
        """Stop accepting connections and wait until all requests in progress are answered."""
        self.draining = True
        if self._server is not None and self._server.server is not None:
            self._server.server.close()
        while self._in_progress:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Close the remaining (idle) connections and unregister the application."""
        if self._server is not None:
            for connection in list(self._server.connections or ()):
                connection.close()  # flushes buffered data
        Sanic.unregister_app(self.app)

    # ---- middleware ----

    async def _on_request(self, request: Request) -> HTTPResponse | None:
        request.ctx.request_id = new_request_id()
        if request.path in UNAUTHENTICATED_PATHS:
            return None
        try:
            self._authenticate(request)
        except ServingError as error:
            return error_response(error, request_id_of(request))
        return None

    def _authenticate(self, request: Request) -> None:
        key = request.token or ""
        if request.path.startswith(ADMIN_PREFIX):
            if not hmac.compare_digest(digest_of(key), self._admin_key_sha256):
                raise ServingError("bad_admin_key", "the admin key is absent or wrong", 401)
            return
        if not self._context.is_ready():
            raise ServingError(
                "not_ready",
                "the node does not know the configuration yet",
                503,
                retry_after_seconds=1,
            )
        tenant = self._context.services.find_tenant(key)
        if tenant is None:
            raise ServingError("bad_key", "the API key is absent or wrong", 401)
        request.ctx.tenant = tenant
        request_context.set(
            RequestContext(
                request_id_of(request), tenant.name, "", request.headers.get("traceparent", "")
            )
        )

    async def _on_response(self, request: Request, response: BaseHTTPResponse) -> None:
        kind = request.path.split("/")[2] if request.path.startswith("/v1/") else "other"
        self._context.metrics.requests.labels(kind, str(response.status)).inc()
        if self.draining:
            response.headers["Connection"] = "close"

    async def _on_exception(self, request: Request, error: Exception) -> HTTPResponse:
        request_id = request_id_of(request)
        if isinstance(error, FindingsError):
            invalid = ServingError("findings", "the document has findings", 422)
            return error_response(invalid, request_id, error.findings)
        if isinstance(error, ServingError):
            self._context.metrics.refusals.labels(error.code).inc()
            return error_response(error, request_id)
        if isinstance(error, SanicException):
            status = error.status_code or 500
            return error_response(ServingError("http", str(error), status), request_id)
        logger.exception("unhandled exception in a request handler", exc_info=error)
        internal_error = ServingError("internal", "internal error", 500, Outcome.UNKNOWN)
        return error_response(internal_error, request_id)

    # ---- health ----

    async def _health(self, request: Request) -> HTTPResponse:
        return text("ok\n")

    async def _readiness(self, request: Request) -> HTTPResponse:
        ready = self._context.is_ready() and not self.draining
        return text("ready\n" if ready else "not ready\n", 200 if ready else 503)

    async def _metrics(self, request: Request) -> HTTPResponse:
        return raw(self._context.metrics.render(), content_type="text/plain; version=0.0.4")
