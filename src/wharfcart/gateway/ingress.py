"""HTTP ingress of a gateway: authenticates callers and forwards their requests."""

from collections.abc import Awaitable, Callable
from socket import socket
from typing import Any

from sanic import Sanic
from sanic.compat import Header
from sanic.request import Request
from sanic.response import HTTPResponse
from sanic.server.protocols.http_protocol import HttpProtocol

from wharfcart.clock import monotonic
from wharfcart.configuration.api_keys import short_digest_of
from wharfcart.configuration.serving import Route, RouteKind, ServedTenant, ServingConfiguration
from wharfcart.gateway.authentication import CallerRefusedError, authenticate
from wharfcart.gateway.plain_responses import plain_response
from wharfcart.gateway.traffic_shares import TrafficSplitter
from wharfcart.http.grammar import is_field_name, is_field_value
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.tasks import record_failure
from wharfcart.platform import http_headers, names
from wharfcart.routing.caller_request import AnswerTruncatedError, CallerRequest
from wharfcart.routing.forwarder import Forwarder

METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS")
REQUEST_TIMEOUT_S = 60
# In effect no timeout: the deadline of each request applies.
RESPONSE_TIMEOUT_S = 3600
KEEP_ALIVE_TIMEOUT_S = 3600
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 64 * 1024 * 1024
RETRY_AFTER_UNCONFIGURED_S = 0.3
STATUS_BAD_REQUEST = 400
STATUS_SERVER_ERROR = 500
# Pending connections; the caller's kernel retries a dropped connection only after 1 s.
BACKLOG = 1024
# The event loop accepts all pending connections within this time after the start.
BACKLOG_ACCEPT_S = 0.02
# A request that was pending when its connection was accepted is read within this time.
BACKLOG_READ_S = 0.25

# The last argument is the name of the caller's tenant, '' if callers need no key.
BatchHandler = Callable[[Request, Route, str], Awaitable[HTTPResponse]]
JobCallHandler = Callable[[Request, str], Awaitable[HTTPResponse]]
Endpoint = tuple[str, int] | socket


class _Connection(HttpProtocol):
    """A caller's connection with the times at which it was accepted and first read."""

    __slots__ = ("_had_request", "accepted_at", "first_read_at")

    def connection_made(self, transport: Any) -> None:
        self.accepted_at = monotonic()
        self.first_read_at: float | None = None
        self._had_request = False
        super().connection_made(transport)  # type: ignore[no-untyped-call]

    def data_received(self, data: bytes) -> None:
        if self.first_read_at is None:
            self.first_read_at = monotonic()
        super().data_received(data)

    def claim_first_request(self) -> bool:
        """Return True on the first call only."""
        first, self._had_request = not self._had_request, True
        return first

    def was_pending(self, serving_since: float) -> bool:
        """Whether the first request may have waited for the start of the server."""
        if self.first_read_at is None or self.first_read_at - self.accepted_at > BACKLOG_READ_S:
            return False
        return self.accepted_at < serving_since + BACKLOG_ACCEPT_S


class _SanicAnswerSink:
    """Answer sink that writes to the connection of a Sanic request."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self._stream: Any = None
        self.response: HTTPResponse | None = None

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.response = plain_response(status, headers, body)

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        # content_type=None keeps Sanic from adding a default content type.
        self._stream = await self._request.respond(
            response=HTTPResponse(status=status, headers=Header(headers), content_type=None)
        )

    async def send_part(self, data: bytes) -> None:
        await self._stream.send(data)

    def fail(self) -> HTTPResponse | None:
        """Return a response that promises nothing, or abort a started one and return None."""
        if self._stream is None:
            return plain_response(STATUS_SERVER_ERROR)
        self.abort_connection()
        return None

    async def finish(self) -> HTTPResponse | None:
        """Return the complete response, or end the streamed one and return None."""
        if self._stream is not None:
            await self._stream.eof()
            return None
        return self.response

    def abort_connection(self) -> None:
        """Abort the connection, so that a truncated response does not look complete."""
        transport: Any = self._request.transport
        if transport is not None:
            transport.abort()


class Ingress:
    """HTTP server of one gateway, on the callers' address and the readiness address.

    Args:
        configuration: Returns the configuration in force at this node, or None.
        configuration_age_s: Returns the seconds since it was last confirmed as the newest.
        forwarder: Forwards online requests to back ends.
        submit: Handles submissions of batch jobs.
        job_call: Handles calls on batch jobs.
        log: Records the requests that the ingress refuses.

    Attributes:
        ready: The readiness path answers 200.
        draining: The server closes connections after their current response.
        app: The Sanic application.
    """

    def __init__(
        self,
        configuration: Callable[[], ServingConfiguration | None],
        configuration_age_s: Callable[[], float],
        forwarder: Forwarder,
        submit: BatchHandler,
        job_call: JobCallHandler,
        log: DecisionLog,
    ) -> None:
        self._configuration = configuration
        self._configuration_age_s = configuration_age_s
        self._forwarder = forwarder
        self._submit = submit
        self._job_call = job_call
        self._log = log
        self._splitter = TrafficSplitter()
        self._servers: list[Any] = []
        self._listening_since: float | None = None
        self._serving_since = 0.0
        self._in_progress = 0
        self.ready = False
        self.draining = False
        self.app = self._build_app()

    @property
    def in_progress(self) -> int:
        """Number of requests without a complete response."""
        return self._in_progress

    async def start(
        self,
        callers_endpoint: Endpoint,
        readiness_endpoint: Endpoint,
        listening_since: float | None = None,
    ) -> None:
        """Serve on both endpoints, each an address to listen on or a listening socket.

        Args:
            callers_endpoint: Endpoint for callers.
            readiness_endpoint: Endpoint for readiness probes.
            listening_since: Monotonic time since which the sockets have been listening.

        Raises:
            OSError: The server can't listen on an endpoint.
        """
        for endpoint in (callers_endpoint, readiness_endpoint):
            server: Any = await self._create_server(endpoint)
            if server is None:
                raise OSError(f"can't listen on {endpoint}")
            if not self._servers:
                await server.startup()
            self._listening_since = listening_since
            self._serving_since = monotonic()
            await server.start_serving()
            self._servers.append(server)

    async def _create_server(self, endpoint: Endpoint) -> Any:
        listen_options: dict[str, Any] = {"sock": endpoint}
        if not isinstance(endpoint, socket):
            listen_options = {"host": endpoint[0], "port": endpoint[1]}
        return await self.app.create_server(
            **listen_options, protocol=_Connection, return_asyncio_server=True, backlog=BACKLOG
        )

    def drain(self) -> None:
        """Report not ready, and close each connection after its current response."""
        self.draining = True
        self.ready = False

    def stop_listening(self) -> None:
        """Accept no new connections from callers, but still answer readiness probes.

        The load balancer also connects to unready nodes while most nodes of a zone are unready.
        """
        self._servers[0].close()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for server in self._servers:
            for connection in list(server.connections):
                connection.close_if_idle()

    def _build_app(self) -> Sanic[Any, Any]:
        app: Sanic[Any, Any] = Sanic("wharfcart", configure_logging=False)
        app.config.update(
            {
                "ACCESS_LOG": False,
                # Recompiling Sanic's methods without unused hooks would slow down the start.
                "TOUCHUP": False,
                "REQUEST_TIMEOUT": REQUEST_TIMEOUT_S,
                "RESPONSE_TIMEOUT": RESPONSE_TIMEOUT_S,
                "KEEP_ALIVE_TIMEOUT": KEEP_ALIVE_TIMEOUT_S,
                "REQUEST_MAX_HEADER_SIZE": MAX_HEADER_BYTES,
                "REQUEST_MAX_SIZE": MAX_BODY_BYTES,
                "FALLBACK_ERROR_FORMAT": "text",
            }
        )
        app.add_route(self._readiness, names.READINESS_PATH, methods=["GET"])
        app.add_route(
            self._on_job_call, f"{names.JOB_PATH}<job_id:path>", methods=METHODS, name="job"
        )
        app.add_route(
            self._on_job_call, f"{names.ITEM_BODY_PATH}<job_id:path>", methods=METHODS, name="item"
        )
        app.add_route(self._on_request, "/", methods=METHODS, name="root")
        app.add_route(self._on_request, "/<path:path>", methods=METHODS, name="any")
        return app

    async def _readiness(self, _request: Request) -> HTTPResponse:
        return plain_response(200 if self.ready else 503)

    async def _on_job_call(self, request: Request, job_id: str = "") -> HTTPResponse | None:
        return await self._track_in_progress(request, self._handle_job_call(request))

    async def _on_request(self, request: Request, path: str = "") -> HTTPResponse | None:
        return await self._track_in_progress(request, self._handle(request))

    async def _track_in_progress(
        self, request: Request, response: Awaitable[HTTPResponse | None]
    ) -> HTTPResponse | None:
        request.ctx.received_at = self._received_at(request)
        self._in_progress += 1
        try:
            return await response
        finally:
            self._in_progress -= 1
            if self.draining:
                _close_after_response(request)

    async def _handle(self, request: Request) -> HTTPResponse | None:
        if self.draining:
            _close_after_response(request)
        configuration = self._configuration()
        if configuration is None:
            return self._refuse(request, 503, "no_configuration")
        target = request.raw_url.decode("latin-1")
        route = configuration.route_for(_host_of(request), target.partition("?")[0])
        if route is None:
            return self._refuse(request, 404, f"no_route_in_version_{configuration.version}")
        try:
            tenant = self._authenticate(request, configuration, route.public)
        except CallerRefusedError as error:
            return self._refuse(request, error.status, error.cause)
        if route.kind is RouteKind.BATCH:
            return await self._submit(request, route, _tenant_name(tenant))
        return await self._forward(request, target, route, tenant, configuration)

    async def _handle_job_call(self, request: Request) -> HTTPResponse:
        configuration = self._configuration()
        if configuration is None:
            return self._refuse(request, 503, "no_configuration")
        public = configuration.has_public_jobs(_host_of(request))
        try:
            tenant = self._authenticate(request, configuration, public)
        except CallerRefusedError as error:
            return self._refuse(request, error.status, error.cause)
        return await self._job_call(request, _tenant_name(tenant))

    def _authenticate(
        self, request: Request, configuration: ServingConfiguration, public: bool
    ) -> ServedTenant | None:
        """Return the caller's tenant, or None if no key is needed.

        Raises:
            CallerRefusedError: The caller is not authorized, or this node can't decide that.
        """
        if configuration.tenants is None:
            return None
        key = http_headers.parse_api_key(request.headers.items())
        return authenticate(configuration, key, public, self._configuration_age_s())

    async def _forward(
        self,
        request: Request,
        target: str,
        route: Route,
        tenant: ServedTenant | None,
        configuration: ServingConfiguration,
    ) -> HTTPResponse | None:
        headers = list(request.headers.items())
        facts = http_headers.parse_request_metadata(headers)
        malformed = _unsendable_header(headers) or _malformed_header(facts, route)
        if malformed:
            return self._refuse(request, STATUS_BAD_REQUEST, f"malformed: {malformed}")
        if configuration.tenants is not None:
            headers = http_headers.without_api_key(headers)
        caller_request = CallerRequest(
            method=request.method,
            target=target,
            headers=headers,
            body=request.body,
            facts=facts,
            route=route,
            service=self._splitter.service_for(route),
            received_at=request.ctx.received_at,
            tenant=tenant,
        )
        sink = _SanicAnswerSink(request)
        try:
            await self._forwarder.forward(caller_request, sink)
        except AnswerTruncatedError:
            sink.abort_connection()
            return None
        except Exception as error:
            record_failure("Ingress._forward", error)
            return sink.fail()
        if self.draining:
            _close_after_response(request)
        return await sink.finish()

    def _received_at(self, request: Request) -> float:
        """Return the monotonic time at which a request was received; called once for each.

        A connection that waited in the backlog for the start may have arrived at any time since
        the socket began to listen. The earliest time is used, so that such a request does not
        delay requests that can still meet their deadline.
        """
        stream: Any = request.stream
        connection = None if stream is None else stream.protocol
        if self._listening_since is None or not isinstance(connection, _Connection):
            return monotonic()
        is_first = connection.claim_first_request()
        if is_first and connection.was_pending(self._serving_since):
            return self._listening_since
        return monotonic()

    def _refuse(self, request: Request, status: int, cause: str) -> HTTPResponse:
        self._log.write(
            Event.REQUEST_REFUSED,
            request=request.headers.get(names.REQUEST_ID),
            status=status,
            cause=cause,
            host=request.headers.get("host"),
            path=request.path,
            key=short_digest_of(http_headers.parse_api_key(request.headers.items())),
        )
        headers = [(names.RETRY_AFTER, f"{RETRY_AFTER_UNCONFIGURED_S:g}")] if status == 503 else []
        body = cause.encode() if status == STATUS_BAD_REQUEST else b""
        return plain_response(status, headers, body)


def _unsendable_header(headers: list[tuple[str, str]]) -> str:
    """Return the name of a header that would end its line in a request to a back end, or ''."""
    for name, value in headers:
        if not is_field_name(name) or not is_field_value(value):
            return ascii(name)
    return ""


def _malformed_header(facts: http_headers.RequestMetadata, route: Route) -> str:
    """Return the name of a header that prevents the request from being served, or ''.

    Event ids may be of any form where streams are not resumed.
    """
    for name in facts.malformed:
        if name != names.LAST_EVENT_ID or route.resumable:
            return name
    return ""


def _host_of(request: Request) -> str:
    return (request.headers.get("host") or "").partition(":")[0]


def _tenant_name(tenant: ServedTenant | None) -> str:
    return "" if tenant is None else tenant.name


def _close_after_response(request: Request) -> None:
    """Close the connection after the response, which announces it to the caller."""
    stream: Any = request.stream
    if stream is not None:
        stream.keep_alive = False
