"""Slots granted by the node that runs batch items: the board's counts, the choice, the asking."""

import asyncio
from random import Random

from wharfcart.cluster.membership import Address
from wharfcart.cluster.messages_pb2 import Frame, InstanceLoad, LoadReport, SlotGrant, SlotRequest
from wharfcart.cluster.transport import PeerUnreachableError
from wharfcart.configuration.instances import BackendInstance
from wharfcart.node.load_reports import LoadBoardKeeper
from wharfcart.routing.backend_choice import BackendChoice
from wharfcart.routing.load_board import LoadBoard, NodeLoad
from wharfcart.routing.placement import GrantedPlacement, PlacementRequest
from wharfcart.routing.preemption import Preemption

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


def keeper(made: BackendChoice, items: Items) -> LoadBoardKeeper:
    return LoadBoardKeeper("leader", made, lambda: frozenset({"s"}), items)


def ask(node: str = "g1") -> SlotRequest:
    return SlotRequest(node_id=node, zone="z", service="s")


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


def test_grants_in_a_row_fill_every_slot_once_before_any_queue() -> None:
    made = choice("a", "b", "c")
    board = keeper(made, Items())
    granted = [board.grant(ask(f"g{n % 2}")).instance_id for n in range(6)]
    assert sorted(granted) == ["a", "a", "b", "b", "c", "c"]


def test_an_item_leaves_only_where_no_slot_is_free() -> None:
    made = choice("a", "b")
    items = Items(b=2)
    for _ in range(2):
        state = made.state("b")
        made.answered(state, made.sent(state, 0.0))
    board = keeper(made, items)
    assert [board.grant(ask()).instance_id for _ in range(2)] == ["a", "a"]
    assert items.left == []
    assert board.grant(ask()).instance_id == "b"
    assert items.left == ["b"]


def test_a_slot_that_came_free_is_granted_again() -> None:
    made = choice("a", slots=1)
    made.put(BackendInstance("b", "s", "127.0.0.1", 1, "z", 3, True))
    board = keeper(made, Items())
    grants = [board.grant(ask()) for _ in range(4)]
    free = LoadReport(
        node_id="g1",
        grants_seen=grants[-1].number,
        brief=True,
        loads=[InstanceLoad(instance_id="b", in_flight=3)],
    )
    board.take(free)
    assert board.grant(ask()).instance_id == "a"


def test_a_service_without_batch_items_is_not_granted() -> None:
    made = choice("a")
    board = LoadBoardKeeper("leader", made, lambda: frozenset(), Items())
    assert board.grant(ask()).instance_id == ""


class Peer:
    """Stands in for the transport: answers each call as told."""

    def __init__(self, answer: SlotGrant | None) -> None:
        self.answer = answer
        self.calls = 0

    async def call(self, address: Address, _frame: Frame, _traffic: object) -> Frame:
        self.calls += 1
        if self.answer is None:
            raise PeerUnreachableError(address, sent=False)
        return Frame(slot_grant=self.answer)


def place(peer: Peer, made: BackendChoice, times: int = 1) -> tuple[list[str], GrantedPlacement]:
    placement = GrantedPlacement("g1", made, peer, lambda: LEADER)
    placement.granting = frozenset({"s"})
    request = PlacementRequest("s", frozenset(), "", 0)

    async def run() -> list[str]:
        states = [await placement.place(request) for _ in range(times)]
        return [state.instance.instance_id for state in states if state is not None]

    return asyncio.run(run()), placement


def test_a_gateway_sends_where_it_was_granted_a_slot() -> None:
    made = choice("a", "b")
    placed, placement = place(Peer(SlotGrant(instance_id="b", number=7)), made, 3)
    assert placed == ["b", "b", "b"]
    assert placement.grants_seen == 7


def test_a_gateway_that_hears_nothing_chooses_itself_and_does_not_ask_at_once_again() -> None:
    peer = Peer(None)
    placed, _ = place(peer, choice("a"), 5)
    assert placed == ["a"] * 5
    assert peer.calls == 1


def test_a_grant_of_a_back_end_that_has_left_is_not_taken() -> None:
    made = choice("a")
    placed, _ = place(Peer(SlotGrant(instance_id="gone", number=1)), made)
    assert placed == ["a"]
