"""What nodes tell each other of requests that back ends ended under."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import time

from wharfcart.admission.poison_requests import EVIDENCE_TTL_S, PoisonRequests
from wharfcart.admission.request_fingerprint import RequestFingerprint
from wharfcart.cluster.coordination import (
    Change,
    Changes,
    ConditionFailedError,
    CoordinationUnavailableError,
    Transaction,
)
from wharfcart.cluster.messages_pb2 import BackendEnds
from wharfcart.cluster.mirror import Mirror
from wharfcart.experiments.virtual_time import run_virtually
from wharfcart.node.fleet_keys import SUSPECT_PREFIX
from wharfcart.node.suspect_news import SuspectNews, record_from, record_to_bytes

CONTENT = RequestFingerprint("c")
NEWS_S = 0.05


class Service:
    """Keys and conditions; nodes hear of changes a moment later."""

    def __init__(self) -> None:
        self.revision = 1
        self.keys: dict[str, Change] = {}
        self.nodes: list[Node] = []
        self.calls = 0
        self.down = False
        self.refused: set[int] = set()
        self.loses_answers = False

    async def commit(self, transaction: Transaction) -> int:
        self.calls += 1
        if self.down:
            raise CoordinationUnavailableError("down")
        for key, revision in transaction.expected.items():
            known = self.keys.get(key)
            if (0 if known is None else known.revision) != revision:
                raise ConditionFailedError
        self.revision += 1
        changes = [Change(key, self.revision, value) for key, value in transaction.put.items()]
        changes += [Change(key, self.revision, None) for key in transaction.remove]
        for change in changes:
            self.keys[change.key] = change
            if change.value is None:
                del self.keys[change.key]
        for node in self.nodes:
            asyncio.get_running_loop().call_later(NEWS_S, node.hear, changes, self.revision)
        if self.loses_answers:
            raise CoordinationUnavailableError("no answer", may_have_taken_effect=True)
        return self.revision


class Node:
    def __init__(self, service: Service, seed: int) -> None:
        self.suspects = PoisonRequests()
        self.mirror = Mirror()
        self._service = service
        self.number = seed
        self.relays: list[Node] = []
        self.news = SuspectNews(self.suspects, self, self.mirror, Random(seed), self._relay)
        service.nodes.append(self)
        self.task = asyncio.get_running_loop().create_task(self.news.run())

    async def commit(self, transaction: Transaction) -> int:
        """Write to the service, as this node."""
        if self.number in self._service.refused:
            raise CoordinationUnavailableError("refused")
        return await self._service.commit(transaction)

    def _relay(self, message: BackendEnds) -> None:
        for node in self.relays:
            node.news.take_relayed(message)

    def hear(self, changes: list[Change], at: int) -> None:
        for change in self.mirror.apply(Changes(tuple(changes), at)):
            self.news.take(change)

    def start_anew(self, service: Service) -> None:
        """List everything, as a node does that starts."""
        self.hear(list(service.keys.values()), service.revision)

    def ends(self) -> set[str]:
        return set(self.suspects.evidence(CONTENT).crashes_by_key)


def play(scenario: Callable[[Service], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario(Service())

    run_virtually(run())


def test_every_node_knows_soon_and_one_that_starts_later_too() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        first.suspects.record_crash(CONTENT, "a", 1.0, time())
        await asyncio.sleep(0.5)
        second.suspects.record_crash(CONTENT, "b", 1.0, time())
        await asyncio.sleep(0.5)
        third = Node(service, 3)
        third.start_anew(service)
        assert first.ends() == second.ends() == third.ends() == {"a", "b"}
        assert service.calls == 2

    play(scenario)


def test_two_that_tell_at_once_both_count() -> None:
    async def scenario(service: Service) -> None:
        nodes = [Node(service, seed) for seed in range(5)]
        for number, node in enumerate(nodes):
            node.suspects.record_crash(CONTENT, f"b{number}", 1.0, time())
        await asyncio.sleep(30.0)
        assert all(len(node.ends()) == 5 for node in nodes)

    play(scenario)


def test_what_is_seen_while_the_service_is_down_is_told_later() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        service.down = True
        first.suspects.record_crash(CONTENT, "a", 1.0, time())
        await asyncio.sleep(20.0)
        assert service.calls < 15
        assert first.ends() == {"a"} and not second.ends()
        service.down = False
        await asyncio.sleep(8.0)
        assert second.ends() == {"a"}

    play(scenario)


def test_a_node_that_the_service_refuses_tells_others_who_tell_it() -> None:
    """Also if the first that is told is refused, too."""

    async def scenario(service: Service) -> None:
        refused, refused_too, third, fourth = (Node(service, seed) for seed in range(4))
        refused.relays, refused_too.relays = [refused_too], [third]
        service.refused = {refused.number, refused_too.number}
        refused.suspects.record_crash(CONTENT, "a", 1.0, time())
        await asyncio.sleep(1.0)
        assert fourth.ends() == {"a"}
        await asyncio.sleep(5.0)
        assert service.calls == 1, "it is told once"

    play(scenario)


def test_an_answer_that_was_lost_changes_nothing() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        service.loses_answers = True
        first.suspects.record_crash(CONTENT, "a", 1.0, time())
        await asyncio.sleep(5.0)
        service.loses_answers = False
        await asyncio.sleep(5.0)
        assert first.ends() == second.ends() == {"a"}
        assert not first.suspects.unpublished(9)
        assert service.calls == 1

    play(scenario)


def test_an_answer_to_the_request_is_told_as_well() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        first.suspects.record_crash(CONTENT, "a", 1.0, time())
        await asyncio.sleep(0.5)
        second.suspects.record_answer(lambda: CONTENT)
        await asyncio.sleep(0.5)
        assert not first.ends() and not second.ends()
        assert not service.keys

    play(scenario)


def test_old_evidence_is_taken_away_though_nothing_happens() -> None:
    async def scenario(service: Service) -> None:
        node = Node(service, 1)
        node.suspects.record_crash(CONTENT, "a", 1.0, time() - EVIDENCE_TTL_S - 1.0)
        await asyncio.sleep(NEWS_S / 2)
        assert service.keys
        await asyncio.sleep(200.0)
        assert not service.keys and not len(node.suspects)

    play(scenario)


def test_records_are_read_as_they_were_written_and_others_count_as_none() -> None:
    suspects = PoisonRequests()
    record = suspects.record_crash(CONTENT, "a", 0.5, 100.25)
    assert record_from(record_to_bytes(record)) == record
    for value in (None, b"no", b"[]", b'{"a": 1}', b'{"a": ["x", 1]}'):
        assert record_from(value) is None
    assert SUSPECT_PREFIX.endswith("/")
