"""Dispatch of online requests to back ends through the nodes that own them.

If the owner is unresponsive, the next node in rendezvous order runs the request, then this node
itself. So a back end may have two owners for a moment. That is safe: effects that must happen once
are guarded by the journal.
"""

import asyncio
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass, replace

from wharfcart.admission.limits import RetryBudget
from wharfcart.backends.interface import BackendError, BackendPart, BackendRequest
from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Dispatch, DispatchPart, Frame, Header
from wharfcart.cluster.rendezvous import rendezvous_order
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.configuration.services import Service
from wharfcart.errors import Outcome, ServingError
from wharfcart.observability.metrics import Metrics
from wharfcart.routing.owner import BackendOwner
from wharfcart.routing.router import Backend, Router

MAX_ATTEMPTS = 3
MAX_OWNER_ATTEMPTS = 2

logger = logging.getLogger(__name__)

BeforeAttempt = Callable[[Backend], Awaitable[None]]


@dataclass(frozen=True)
class ClusterView:
    """The cluster as the dispatcher sees it."""

    node_id: str
    live_in_zone: Callable[[str], list[str]]
    address_of: Callable[[str], Address | None]


class Dispatcher:
    """Dispatches the online requests of one node."""

    def __init__(
        self,
        view: ClusterView,
        router: Router,
        owner: BackendOwner,
        transport: Transport,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._router = router
        self._owner = owner
        self._transport = transport
        self._metrics = metrics
        self._retry_budgets: dict[tuple[str, str], RetryBudget] = {}

    async def dispatch(
        self,
        service: Service,
        request: BackendRequest,
        deadline: float,
        prefix: str = "",
        before_attempt: BeforeAttempt | None = None,
    ) -> AsyncGenerator[BackendPart, None]:
        """Run a request and yield the parts of its answer.

        A failed attempt is retried only if nothing was yielded yet and the request is repeatable or
        provably did not run.

        Args:
            service: service of the request.
            request: the request.
            deadline: monotonic time in seconds.
            prefix: prompt prefix for affinity, '' if there is none.
            before_attempt: awaited before each attempt, before any byte is sent; if it raises,
                nothing was sent.

        Raises:
            ServingError: The request failed; carries its outcome.
        """
        budget = self._retry_budgets.setdefault((service.tenant, service.name), RetryBudget())
        budget.deposit()
        excluded: set[str] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            backend = self._choose(service, prefix, excluded)
            has_yielded = False
            try:
                async with asyncio.timeout(deadline - monotonic()):
                    if before_attempt is not None:
                        await before_attempt(backend)
                    resume = backend.backend_id in excluded
                    attempted = replace(request, resume=resume)
                    async with aclosing(self._attempt(backend, attempted, deadline)) as parts:
                        async for part in parts:
                            has_yielded = True
                            yield part
                return
            except TimeoutError:
                raise ServingError(
                    "deadline_exceeded", "the deadline passed", 504, Outcome.UNKNOWN
                ) from None
            except ServingError as error:
                repeatable = service.repeatable or error.outcome is Outcome.NOT_RUN
                if (
                    has_yielded
                    or not repeatable
                    or attempt == MAX_ATTEMPTS
                    or not budget.withdraw()
                ):
                    raise
                self._metrics.retries.labels(error.code).inc()
                excluded.add(backend.backend_id)

    def _choose(self, service: Service, prefix: str, excluded: set[str]) -> Backend:
        now = monotonic()
        backend = self._router.choose(service.target, service.routing_key, now, prefix, excluded)
        if backend is None and excluded:
            backend = self._router.choose(service.target, service.routing_key, now, prefix)
        if backend is None:
            raise ServingError(
                "no_backend", f"no server holds {service.target} now", 503, retry_after_seconds=2
            )
        return backend

    async def _attempt(
        self, backend: Backend, request: BackendRequest, deadline: float
    ) -> AsyncGenerator[BackendPart, None]:
        started_at = monotonic()
        latency_s: float | None = None
        failed = False
        self._router.record_started(backend.backend_id)
        try:
            async with aclosing(self._run_through_owner(backend, request, deadline)) as parts:
                async for part in parts:
                    if latency_s is None:
                        latency_s = monotonic() - started_at
                    yield part
        except ServingError as error:
            # A refusal due to load is not a failure of the back end.
            failed = error.code != "overloaded"
            raise
        finally:
            self._router.record_finished(backend.backend_id, monotonic(), latency_s, failed)

    async def _run_through_owner(
        self, backend: Backend, request: BackendRequest, deadline: float
    ) -> AsyncGenerator[BackendPart, None]:
        order = rendezvous_order(backend.backend_id, self._view.live_in_zone(backend.zone))
        for node_id in order[:MAX_OWNER_ATTEMPTS]:
            if node_id == self._view.node_id:
                break
            address = self._view.address_of(node_id)
            if address is None:
                continue
            try:
                async with aclosing(
                    self._run_remotely(address, backend, request, deadline)
                ) as parts:
                    async for part in parts:
                        yield part
                return
            except PeerUnreachableError as error:
                if error.sent:
                    raise BackendError("the owner went away", Outcome.UNKNOWN) from error
        async with aclosing(self._run_locally(backend, request)) as parts:
            async for part in parts:
                yield part

    async def _run_locally(
        self, backend: Backend, request: BackendRequest
    ) -> AsyncGenerator[BackendPart, None]:
        owned = self._owner.backends.get(backend.backend_id)
        if owned is None:
            owned = self._owner.create_temporary(backend)
        async with aclosing(self._owner.run_online(owned, request)) as parts:
            async for part in parts:
                yield part

    async def _run_remotely(
        self, address: Address, backend: Backend, request: BackendRequest, deadline: float
    ) -> AsyncGenerator[BackendPart, None]:
        request_frame = dispatch_frame(backend, request, max(0.001, deadline - monotonic()))
        expected = 0
        finished = False
        remote_frames = self._transport.stream(address, request_frame, TrafficClass.ONLINE)
        async with aclosing(remote_frames) as frames:
            async for frame in frames:
                part = frame.dispatch_part
                if part.sequence != expected:
                    raise BackendError("a part of the answer is missing", Outcome.UNKNOWN)
                expected += 1
                finished = part.end
                self._router.record_owner_load(
                    backend.backend_id, part.online_in_flight, monotonic()
                )
                yield part_from_message(part)
        if not finished:
            raise BackendError("the answer's end is missing", Outcome.UNKNOWN)


def dispatch_frame(backend: Backend, request: BackendRequest, seconds: float) -> Frame:
    """Return the frame that asks an owner to run a request."""
    dispatch = Dispatch(
        request_id=request.request_id,
        backend_id=backend.backend_id,
        method=request.method,
        path=request.path,
        headers=[Header(name=name, value=value) for name, value in request.headers.items()],
        body=request.body,
        stream=request.stream,
        resume=request.resume,
        deadline_ms=int(seconds * 1000),
    )
    return Frame(dispatch=dispatch)


def request_from_message(dispatch: Dispatch) -> BackendRequest:
    """Return the request in a dispatch message."""
    return BackendRequest(
        dispatch.request_id,
        dispatch.method,
        dispatch.path,
        {header.name: header.value for header in dispatch.headers},
        dispatch.body,
        dispatch.stream,
        dispatch.resume,
    )


def message_from_part(part: BackendPart, sequence: int, online_in_flight: int) -> DispatchPart:
    """Return the message for a part of an answer."""
    return DispatchPart(
        sequence=sequence,
        status=part.status,
        headers=[Header(name=name, value=value) for name, value in part.headers.items()],
        data=part.data,
        end=part.is_last,
        online_in_flight=online_in_flight,
    )


def part_from_message(message: DispatchPart) -> BackendPart:
    """Return the part of an answer in a message."""
    headers = {header.name: header.value for header in message.headers}
    return BackendPart(message.sequence, message.data, message.end, message.status, headers)
