"""HTTP ingress of a gateway: requests of callers come in here and are passed through unchanged."""

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
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.platform import http_headers, names
from wharfcart.routing.caller_request import AnswerTruncatedError, CallerRequest
from wharfcart.routing.forwarder import Forwarder

METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS")
REQUEST_TIMEOUT_S = 60
# Nothing but a request's own deadline ends its answer.
RESPONSE_TIMEOUT_S = 3600
KEEP_ALIVE_TIMEOUT_S = 3600
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 64 * 1024 * 1024
RETRY_AFTER_UNCONFIGURED_S = 0.3
# Connections that wait to be accepted; a caller whose connection is dropped tries again after 1 s.
BACKLOG = 1024
# Connections that waited are accepted within this time, in a few steps of the loop.
BACKLOG_ACCEPT_S = 0.02

# The last argument is the caller's tenant by name, '' where callers need no key.
BatchHandler = Callable[[Request, Route, str], Awaitable[HTTPResponse]]
JobCallHandler = Callable[[Request, str], Awaitable[HTTPResponse]]
Endpoint = tuple[str, int] | socket


class _Connection(HttpProtocol):
    """A caller's connection that knows when it was accepted."""

    __slots__ = ("_had_request", "accepted_at")

    def connection_made(self, transport: Any) -> None:
        self.accepted_at = monotonic()
        self._had_request = False
        super().connection_made(transport)  # type: ignore[no-untyped-call]

    def claim_first_request(self) -> bool:
        """Whether this is asked for the first time."""
        first, self._had_request = not self._had_request, True
        return first


class _SanicAnswerSink:
    """Answers on the connection that a request came on."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self._stream: Any = None
        self.response: HTTPResponse | None = None

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.response = plain_response(status, headers, body)

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        # Sanic adds its own content type unless one is given.
        self._stream = await self._request.respond(
            response=HTTPResponse(status=status, headers=Header(headers), content_type=None)
        )

    async def send_part(self, data: bytes) -> None:
        await self._stream.send(data)

    async def finish(self) -> HTTPResponse | None:
        """Return the whole answer, or end the one begun."""
        if self._stream is not None:
            await self._stream.eof()
            return None
        return self.response

    def abort_connection(self) -> None:
        """Break the connection off, so that a begun answer does not look whole."""
        transport: Any = self._request.transport
        if transport is not None:
            transport.abort()


class Ingress:
    """The HTTP interface of one gateway, on the callers' address and the readiness address.

    Args:
        configuration: in force at this node, or None.
        age_s: seconds since it was last confirmed to be the newest.
        forwarder: passes online requests on.
        submit: takes batch jobs.
        job_call: answers calls on batch jobs.
        log: tells of requests that are refused here.
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
        """Number of requests without a final answer."""
        return self._in_progress

    async def start(
        self,
        callers_endpoint: Endpoint,
        readiness_endpoint: Endpoint,
        listening_since: float | None = None,
    ) -> None:
        """Serve on both; a socket listens already, at an address listening begins now.

        Args:
            front: where callers come in.
            readiness: where readiness is asked for.
            listening_since: monotonic time since which a socket has listened.
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
        where: dict[str, Any] = {"sock": endpoint}
        if not isinstance(endpoint, socket):
            where = {"host": endpoint[0], "port": endpoint[1]}
        return await self.app.create_server(
            **where, protocol=_Connection, return_asyncio_server=True, backlog=BACKLOG
        )

    def drain(self) -> None:
        """Call not ready, and close each connection once no request is on it."""
        self.draining = True
        self.ready = False

    def stop_listening(self) -> None:
        """Take no new connections from callers; readiness is still told.

        The entry sends new connections to unready nodes, too, while most of a zone is unready.
        """
        self._servers[0].close()

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for server in self._servers:
            for connection in list(server.connections):
                connection.close_if_idle()

    def _build_app(self) -> Sanic[Any, Any]:
        app: Sanic[Any, Any] = Sanic("wharfcart", configure_logging=False)
        app.config.update(
            {
                "ACCESS_LOG": False,
                # Sanic would compile its own methods anew without hooks that nobody uses: a tenth
                # of the processor time that a start takes, for 0.1 ms of each request.
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
        """Return the tenant that calls.

        Raises:
            CallerRefusedError: it may not call, or that is not known.
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
            received_at=self._received_at(request),
            tenant=tenant,
        )
        sink = _SanicAnswerSink(request)
        try:
            await self._forwarder.forward(caller_request, sink)
        except AnswerTruncatedError:
            sink.abort_connection()
            return None
        if self.draining:
            _close_after_response(request)
        return await sink.finish()

    def _received_at(self, request: Request) -> float:
        """Return when a request came; what waited for this process to start came before that.

        How long before is not known. Taken for as old as it can be, it goes behind those that can
        still be answered in time.
        """
        stream: Any = request.stream
        connection = None if stream is None else stream.protocol
        if self._listening_since is None or not isinstance(connection, _Connection):
            return monotonic()
        waited = (
            connection.claim_first_request()
            and connection.accepted_at < self._serving_since + BACKLOG_ACCEPT_S
        )
        return self._listening_since if waited else monotonic()

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
        return plain_response(status, headers)


def _host_of(request: Request) -> str:
    return (request.headers.get("host") or "").partition(":")[0]


def _tenant_name(tenant: ServedTenant | None) -> str:
    return "" if tenant is None else tenant.name


def _close_after_response(request: Request) -> None:
    """Have the caller read in the answer that the connection ends with it."""
    stream: Any = request.stream
    if stream is not None:
        stream.keep_alive = False
