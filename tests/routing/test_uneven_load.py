"""A gateway that gets most of the load of a zone."""

import asyncio
import random
from time import monotonic

import uvloop

from tests.routing.shaped_backends import ShapedServer
from tests.routing.test_answer_ends import EVENTS, SERVICE, STREAM, Caller
from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.configuration.instances import BackendInstance
from wharfcart.emulator.answer_shapes import AnswerShape
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.platform.http_headers import RequestMetadata
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import CallerRequest
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.forwarder import Forwarder
from wharfcart.routing.placement import LocalPlacement, PlacementDecision, PlacementRequest

METRICS = ServingMetrics()
SLOTS = 9
# This node's share of the connections that a back end accepts.
CONNECTION_SHARE = 2


class GrantedPlacement(LocalPlacement):
    """Grants a slot for each request."""

    async def place(self, request: PlacementRequest) -> PlacementDecision | None:
        decision = await super().place(request)
        return None if decision is None else PlacementDecision(decision.state, granted=True)


async def forward_at_once(count: int) -> list[int | None]:
    """Forward requests at the same time; return their statuses."""
    server = ShapedServer(AnswerShape(), EVENTS, "text/event-stream")
    await server.start()
    selector = BackendSelector("z", random.Random(1))
    host, port = server.address
    selector.put(BackendInstance("i", SERVICE, host, port, "z", SLOTS, True))
    log = DecisionLog("test")
    pool = ConnectionPool()
    forwarder = Forwarder(
        selector,
        GrantedPlacement(selector),
        pool,
        lambda _service: CONNECTION_SHARE,
        log,
        METRICS,
        CrashDetector(PoisonRequests(), log),
    )

    async def forward(number: int) -> int | None:
        headers = [("host", "h"), (names.REQUEST_ID, f"q{number}")]
        facts = RequestMetadata(f"q{number}", None, (), 0, None)
        request = CallerRequest("POST", "/", headers, b"", facts, STREAM, SERVICE, monotonic())
        caller = Caller()
        await forwarder.forward(request, caller)
        return caller.status

    try:
        return await asyncio.gather(*(forward(number) for number in range(count)))
    finally:
        pool.close()
        server.stop()


# Guards against requests that are refused at the gateway that gets most of a zone's connections,
# although slots were granted for them: its share of the back ends' connections was used up.
def test_granted_requests_are_served_beyond_the_share_of_connections() -> None:
    assert uvloop.run(forward_at_once(SLOTS)) == [200] * SLOTS
