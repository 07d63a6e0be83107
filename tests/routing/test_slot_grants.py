"""Slots granted by the node that runs batch items: the board's counts, the choice, the asking."""

import asyncio
from collections.abc import AsyncGenerator
from random import Random

import pytest

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame, InstanceLoad, LoadReport, SlotGrant, SlotRequest
from wharfcart.cluster.transport import PeerUnreachableError
from wharfcart.configuration.instances import BackendInstance
from wharfcart.node.load_reports import LoadBoardKeeper
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.routing.backend_choice import BackendChoice
from wharfcart.routing.load_board import LoadBoard, NodeLoad
from wharfcart.routing.placement import GrantedPlacement, NoSlotError, PlacementRequest
from wharfcart.routing.preemption import Preemption

METRICS = ServingMetrics()
LEADER = Address("127.0.0.1", 7000)


class Items(Preemption):
    """Batch items by back end; each one asked leaves."""

    def __init__(self, **by_instance: int) -> None:
        self.by_instance = by_instance
        self.left: list[str] = []

    def items_at(self, instance_id: str) -> int:
        return self.by_instance.get(instance_id, 0)

    def make_room(self, instance_id: str) -> bool:
        self.left.append(instance_id)
        return True

    def slots_changed(self) -> None:
        return


def choice(*names: str, slots: int = 2, zone: str = "z") -> BackendChoice:
    made = BackendChoice(zone, Random(1))
    for name in names:
        made.put(BackendInstance(name, "s", "127.0.0.1", 1, "z", slots, True))
    return made


def keeper(made: BackendChoice, items: Items, *services: str) -> LoadBoardKeeper:
    granting = frozenset(services or ("s",))
    metrics = ServingMetrics()
    return LoadBoardKeeper(
        "leader", made, lambda: granting, items, DecisionLog("test"), metrics.requests_waiting
    )


def ask(node: str = "g1", in_time_s: float = 9.0, waits_s: float = 9.0) -> SlotRequest:
    return SlotRequest(
        node_id=node,
        zone="z",
        service="s",
        in_time_for_ms=int(in_time_s * 1000),
        waits_for_ms=int(waits_s * 1000),
    )


class Asking:
    """One request's conversation with the node that grants."""

    def __init__(self, board: LoadBoardKeeper, request: SlotRequest) -> None:
        self.told: list[SlotGrant] = []
        self.task = asyncio.create_task(board.slots.serve(request, self._hear))

    async def _hear(self, grant: SlotGrant) -> None:
        self.told.append(grant)

    @property
    def granted(self) -> str:
        return self.told[-1].instance_id if self.told else ""


async def granted(board: LoadBoardKeeper, request: SlotRequest) -> SlotGrant:
    asking = Asking(board, request)
    await asking.task
    return asking.told[-1]


async def settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def reports(board: LoadBoardKeeper, seen: int, **in_flight: int) -> None:
    loads = [InstanceLoad(instance_id=name, in_flight=n) for name, n in in_flight.items()]
    board.take(LoadReport(node_id="g1", grants_seen=seen, brief=True, loads=loads))


def test_a_grant_counts_until_a_report_includes_it() -> None:
    board = LoadBoard()
    number = board.grant("g1", "a", 0.0)
    assert board.other("me", "a").in_flight == 1
    board.report("g1", [NodeLoad("a", 1, 0)], 0.1, grants_seen=number)
    assert board.other("me", "a").in_flight == 1
    board.report("g1", [], 0.2, grants_seen=number)
    assert board.other("me", "a").in_flight == 0


def test_a_report_that_left_before_a_grant_came_does_not_take_it_back() -> None:
    board = LoadBoard()
    first = board.grant("g1", "a", 0.0)
    board.grant("g1", "a", 0.05)
    board.report("g1", [NodeLoad("a", 1, 0)], 0.06, grants_seen=first)
    assert board.other("me", "a").in_flight == 2


def test_a_grant_to_a_node_that_is_never_heard_again_is_dropped() -> None:
    board = LoadBoard()
    board.grant("g1", "a", 0.0)
    assert board.others("me", 5.0) == {}


def test_grants_in_a_row_fill_every_slot_once() -> None:
    async def scenario() -> None:
        board = keeper(choice("a", "b", "c"), Items())
        grants = [await granted(board, ask(f"g{n % 2}")) for n in range(6)]
        names = sorted(grant.instance_id for grant in grants)
        assert names == ["a", "a", "b", "b", "c", "c"]

    asyncio.run(scenario())


def test_an_item_leaves_only_where_no_slot_is_free() -> None:
    async def scenario() -> None:
        made = choice("a", "b")
        items = Items(b=2)
        for _ in range(2):
            state = made.state("b")
            made.answered(state, made.sent(state, 0.0))
        board = keeper(made, items)
        assert [(await granted(board, ask())).instance_id for _ in range(2)] == ["a", "a"]
        assert items.left == []
        assert (await granted(board, ask())).instance_id == "b"
        assert items.left == ["b"]

    asyncio.run(scenario())


def test_a_request_without_a_slot_waits_until_one_comes_free() -> None:
    async def scenario() -> None:
        board = keeper(choice("a", slots=1), Items())
        first = await granted(board, ask())
        waiting = Asking(board, ask())
        await settle()
        assert waiting.told[-1].waiting
        reports(board, first.number)
        await waiting.task
        assert waiting.granted == "a"

    asyncio.run(scenario())


def test_who_can_still_be_in_time_goes_before_who_is_late_already() -> None:
    async def scenario() -> None:
        board = keeper(choice("a", slots=1), Items())
        first = await granted(board, ask())
        late = Asking(board, ask(in_time_s=0.0))
        await settle()
        in_time = Asking(board, ask())
        await settle()
        reports(board, first.number)
        await settle()
        assert (in_time.granted, late.granted) == ("a", "")
        late.task.cancel()

    asyncio.run(scenario())


def test_who_has_waited_long_enough_is_told_when_to_come_back() -> None:
    async def scenario() -> None:
        board = keeper(choice("a", slots=1), Items())
        await granted(board, ask())
        refusal = await granted(board, ask(waits_s=0.0))
        assert refusal.refused
        assert refusal.retry_after_ms > 0
        assert board.slots.waiting("s") == 0

    asyncio.run(scenario())


def test_a_caller_that_leaves_gives_its_place_in_the_queue_up() -> None:
    async def scenario() -> None:
        board = keeper(choice("a", slots=1), Items())
        first = await granted(board, ask())
        leaver, stayer = Asking(board, ask()), Asking(board, ask())
        await settle()
        leaver.task.cancel()
        await settle()
        assert board.slots.waiting("s") == 1
        reports(board, first.number)
        await settle()
        assert stayer.granted == "a"

    asyncio.run(scenario())


def test_a_slot_that_came_free_is_granted_again() -> None:
    async def scenario() -> None:
        board = keeper(choice("a", "b", slots=1), Items())
        grants = [await granted(board, ask()) for _ in range(2)]
        reports(board, grants[-1].number, b=1)
        assert (await granted(board, ask())).instance_id == "a"

    asyncio.run(scenario())


def test_a_service_without_batch_items_is_not_granted() -> None:
    async def scenario() -> None:
        board = keeper(choice("a"), Items(), "other")
        assert (await granted(board, ask())).instance_id == ""

    asyncio.run(scenario())


class Peer:
    """Stands in for the transport: answers each call as told."""

    def __init__(self, *answers: SlotGrant) -> None:
        self.answers = answers
        self.calls = 0

    async def stream(
        self, address: Address, _frame: Frame, _traffic: object
    ) -> AsyncGenerator[Frame, None]:
        self.calls += 1
        for answer in self.answers:
            yield Frame(slot_grant=answer)
        if not self.answers:
            raise PeerUnreachableError(address, sent=False)
        await asyncio.Event().wait()


REQUEST = PlacementRequest(
    service="s",
    excluded=frozenset(),
    affinity_key="",
    unread_tokens=0,
    request_id="r",
    route_name="route",
    in_time_until=0.0,
    leave_at=0.0,
    priority=0,
)


def place(peer: Peer, made: BackendChoice, times: int = 1) -> tuple[list[str], GrantedPlacement]:
    placement = GrantedPlacement("g1", made, peer, lambda: LEADER, METRICS.placements)
    placement.granting = frozenset({"s"})

    async def run() -> list[str]:
        states = [await placement.place(REQUEST) for _ in range(times)]
        return [state.instance.instance_id for state in states if state is not None]

    return asyncio.run(run()), placement


def test_a_gateway_sends_where_it_was_granted_a_slot() -> None:
    made = choice("a", "b")
    placed, placement = place(Peer(SlotGrant(instance_id="b", number=7)), made, 3)
    assert placed == ["b", "b", "b"]
    assert placement.grants_seen == 7


def test_a_gateway_waits_while_it_hears_that_the_request_waits() -> None:
    waiting = SlotGrant(waiting=True)
    placed, _ = place(Peer(waiting, waiting, SlotGrant(instance_id="b")), choice("a", "b"))
    assert placed == ["b"]


def test_a_gateway_that_hears_nothing_chooses_itself_and_does_not_ask_at_once_again() -> None:
    peer = Peer()
    placed, _ = place(peer, choice("a"), 5)
    assert placed == ["a"] * 5
    assert peer.calls == 1


def test_a_node_that_falls_silent_while_a_request_waits_is_not_waited_for() -> None:
    placed, _ = place(Peer(SlotGrant(waiting=True)), choice("a"))
    assert placed == ["a"]


def test_a_node_that_no_longer_grants_is_left_by_those_who_wait() -> None:
    waiting = SlotGrant(waiting=True)
    peer = Peer(*(waiting,) * 50)
    placement = GrantedPlacement("g1", choice("a"), peer, lambda: leaders.pop(), METRICS.placements)
    leaders = [Address("127.0.0.1", 7001), LEADER, LEADER]
    placement.granting = frozenset({"s"})
    state = asyncio.run(placement.place(REQUEST))
    assert state is not None and state.instance.instance_id == "a"
    assert leaders == []


def test_a_refusal_tells_when_to_come_back() -> None:
    with pytest.raises(NoSlotError) as raised:
        place(Peer(SlotGrant(refused=True, retry_after_ms=300)), choice("a"))
    assert raised.value.retry_after_s == 0.3


def test_a_grant_of_a_back_end_that_has_left_is_not_taken() -> None:
    made = choice("a")
    placed, _ = place(Peer(SlotGrant(instance_id="gone", number=1)), made)
    assert placed == ["a"]
