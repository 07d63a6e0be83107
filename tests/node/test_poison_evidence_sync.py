"""Exchange of poison request evidence between nodes."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import time

from wharfcart.admission.crashing_parts import CrashId, CrashReport
from wharfcart.admission.poison_requests import (
    EVIDENCE_TTL_S,
    BackendCrash,
    PoisonEvidence,
    PoisonRequests,
)
from wharfcart.admission.prompt_parts import PromptPartKey
from wharfcart.admission.request_fingerprint import RequestFingerprint
from wharfcart.cluster.coordination import (
    ChangeBatch,
    ConditionFailedError,
    CoordinationUnavailableError,
    KeyChange,
    Transaction,
)
from wharfcart.cluster.messages_pb2 import BackendEnds
from wharfcart.cluster.mirror import Mirror
from wharfcart.experiments.virtual_time import run_in_virtual_time
from wharfcart.node.fleet_keys import CRASH_REPORT_PREFIX, POISON_REQUEST_PREFIX
from wharfcart.node.poison_evidence_sync import (
    PoisonEvidenceSync,
    crashes_to_message,
    record_from,
    record_to_bytes,
)

FINGERPRINT = RequestFingerprint("c")
PROPAGATION_S = 0.05


class Service:
    """Fake coordination service; nodes receive changes after a short delay."""

    def __init__(self) -> None:
        self.revision = 1
        self.keys: dict[str, KeyChange] = {}
        self.nodes: list[Node] = []
        self.calls = 0
        self.is_down = False
        self.refused_nodes: set[int] = set()
        self.loses_answers = False
        self.on_commit: Callable[[], object] = lambda: None

    async def commit(self, transaction: Transaction) -> int:
        self.calls += 1
        if self.is_down:
            raise CoordinationUnavailableError("down")
        for key, revision in transaction.expected.items():
            known = self.keys.get(key)
            if (0 if known is None else known.revision) != revision:
                raise ConditionFailedError
        self.revision += 1
        changes = [KeyChange(key, self.revision, value) for key, value in transaction.put.items()]
        changes += [KeyChange(key, self.revision, None) for key in transaction.remove]
        for change in changes:
            self.keys[change.key] = change
            if change.value is None:
                del self.keys[change.key]
        for node in self.nodes:
            asyncio.get_running_loop().call_later(
                PROPAGATION_S, node.apply_changes, changes, self.revision
            )
        on_commit, self.on_commit = self.on_commit, lambda: None
        on_commit()  # as if it happened while the writer awaits the answer
        if self.loses_answers:
            raise CoordinationUnavailableError("no answer", may_have_taken_effect=True)
        return self.revision


class Node:
    def __init__(self, service: Service, seed: int) -> None:
        self.poison_requests = PoisonRequests()
        self.mirror = Mirror()
        self._service = service
        self.number = seed
        self.relays: list[Node] = []
        self.sync = PoisonEvidenceSync(
            self.poison_requests, self, self.mirror, Random(seed), self._relay
        )
        service.nodes.append(self)
        self.task = asyncio.get_running_loop().create_task(self.sync.run())

    async def commit(self, transaction: Transaction) -> int:
        """Write to the service, as this node."""
        if self.number in self._service.refused_nodes:
            raise CoordinationUnavailableError("refused")
        return await self._service.commit(transaction)

    def _relay(self, message: BackendEnds) -> None:
        for node in self.relays:
            node.sync.apply_relayed(message)

    def apply_changes(self, changes: list[KeyChange], at: int) -> None:
        for change in self.mirror.apply(ChangeBatch(tuple(changes), at)):
            self.sync.apply_change(change)

    def load_all(self, service: Service) -> None:
        """Apply a full listing, like a starting node."""
        self.apply_changes(list(service.keys.values()), service.revision)

    def crashed_instances(self) -> set[str]:
        return set(self.poison_requests.evidence(FINGERPRINT).crashes_by_key)


def run_scenario(scenario: Callable[[Service], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario(Service())

    run_in_virtual_time(run())


def test_evidence_reaches_running_and_later_nodes() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        first.poison_requests.record_crash(FINGERPRINT, "a", 1.0, time())
        await asyncio.sleep(0.5)
        second.poison_requests.record_crash(FINGERPRINT, "b", 1.0, time())
        await asyncio.sleep(0.5)
        third = Node(service, 3)
        third.load_all(service)
        assert (
            first.crashed_instances()
            == second.crashed_instances()
            == third.crashed_instances()
            == {"a", "b"}
        )
        assert service.calls == 2

    run_scenario(scenario)


def test_concurrent_writers_lose_no_evidence() -> None:
    async def scenario(service: Service) -> None:
        nodes = [Node(service, seed) for seed in range(5)]
        for number, node in enumerate(nodes):
            node.poison_requests.record_crash(FINGERPRINT, f"b{number}", 1.0, time())
        await asyncio.sleep(30.0)
        assert all(len(node.crashed_instances()) == 5 for node in nodes)

    run_scenario(scenario)


def test_evidence_from_an_outage_is_written_afterwards() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        service.is_down = True
        first.poison_requests.record_crash(FINGERPRINT, "a", 1.0, time())
        await asyncio.sleep(20.0)
        assert service.calls < 15
        assert first.crashed_instances() == {"a"} and not second.crashed_instances()
        service.is_down = False
        await asyncio.sleep(8.0)
        assert second.crashed_instances() == {"a"}

    run_scenario(scenario)


def test_refused_node_relays_evidence_through_others() -> None:
    """The relay works even if the first relaying node is refused as well."""

    async def scenario(service: Service) -> None:
        refused, refused_relay, third, fourth = (Node(service, seed) for seed in range(4))
        refused.relays, refused_relay.relays = [refused_relay], [third]
        service.refused_nodes = {refused.number, refused_relay.number}
        refused.poison_requests.record_crash(FINGERPRINT, "a", 1.0, time())
        await asyncio.sleep(1.0)
        assert fourth.crashed_instances() == {"a"}
        await asyncio.sleep(5.0)
        assert service.calls == 1, "the evidence must be written once"

    run_scenario(scenario)


def test_lost_commit_response_is_harmless() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        service.loses_answers = True
        first.poison_requests.record_crash(FINGERPRINT, "a", 1.0, time())
        await asyncio.sleep(5.0)
        service.loses_answers = False
        await asyncio.sleep(5.0)
        assert first.crashed_instances() == second.crashed_instances() == {"a"}
        assert not first.poison_requests.unpublished(9)
        assert service.calls == 1

    run_scenario(scenario)


def test_answered_request_removes_shared_evidence() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        first.poison_requests.record_crash(FINGERPRINT, "a", 1.0, time())
        await asyncio.sleep(0.5)
        second.poison_requests.record_answer(lambda: FINGERPRINT)
        await asyncio.sleep(0.5)
        assert not first.crashed_instances() and not second.crashed_instances()
        assert not service.keys

    run_scenario(scenario)


def test_old_evidence_is_removed_without_new_events() -> None:
    async def scenario(service: Service) -> None:
        node = Node(service, 1)
        node.poison_requests.record_crash(FINGERPRINT, "a", 1.0, time() - EVIDENCE_TTL_S - 1.0)
        await asyncio.sleep(PROPAGATION_S / 2)
        assert service.keys
        await asyncio.sleep(200.0)
        assert not service.keys and not len(node.poison_requests)

    run_scenario(scenario)


def test_records_survive_a_round_trip_and_malformed_ones_are_ignored() -> None:
    poison_requests = PoisonRequests()
    record = poison_requests.record_crash(FINGERPRINT, "a", 0.5, 100.25)
    assert record_from(record_to_bytes(record)) == record
    for value in (None, b"no", b"[]", b'{"a": 1}', b'{"a": ["x", 1]}'):
        assert record_from(value) is None
    assert POISON_REQUEST_PREFIX.endswith("/")


def test_evidence_found_during_a_write_is_written_next() -> None:
    """Guards against evidence that no other node learns: the write in progress lacks it."""

    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        service.on_commit = lambda: first.poison_requests.record_crash(
            FINGERPRINT, "b", 1.0, time()
        )
        first.poison_requests.record_crash(FINGERPRINT, "a", 1.0, time())
        await asyncio.sleep(5.0)
        assert second.crashed_instances() == {"a", "b"}

    run_scenario(scenario)


def test_late_and_repeated_evidence_of_a_relay_is_written_once() -> None:
    async def scenario(service: Service) -> None:
        first, second = Node(service, 1), Node(service, 2)
        evidence = {FINGERPRINT: PoisonEvidence({"a": BackendCrash(time(), 1.0)})}
        message = crashes_to_message(evidence)
        for _ in range(2):
            first.sync.apply_relayed(message)
            await asyncio.sleep(0.5)
        second.sync.apply_relayed(message)
        await asyncio.sleep(0.5)
        assert first.crashed_instances() == second.crashed_instances() == {"a"}
        assert service.calls == 1

    run_scenario(scenario)


BAD_PART = PromptPartKey("s/bad")
POPULAR_PART = PromptPartKey("s/popular")


def crash_report(number: int) -> CrashReport:
    return CrashReport(CrashId(f"i-{number}"), time(), {BAD_PART: 1.0, POPULAR_PART: 1.0})


def held_parts(node: Node) -> set[PromptPartKey]:
    suspicions = node.poison_requests.parts.suspicions(time() + 1.0)
    return {part for suspicion in suspicions for part in suspicion.parts}


# Guards against a part of prompts that is held back only where its crashes were seen, or is not
# released once the crashes are removed from the service.
def test_nodes_conclude_alike_from_each_others_reports_and_their_removal() -> None:
    async def scenario(service: Service) -> None:
        nodes = [Node(service, number) for number in range(4)]
        for number, node in enumerate(nodes[:3]):
            node.poison_requests.parts.record_crash(crash_report(number))
        await asyncio.sleep(1.0)
        assert [held_parts(node) for node in nodes] == [{BAD_PART, POPULAR_PART}] * 4
        nodes[0].poison_requests.parts.record_sound([POPULAR_PART], time() + 0.1)
        await asyncio.sleep(1.0)
        later = Node(service, 9)
        later.load_all(service)
        assert [held_parts(node) for node in (*nodes, later)] == [{BAD_PART}] * 5
        crashes = [key for key in service.keys if key.startswith(CRASH_REPORT_PREFIX)]
        await service.commit(Transaction({}, {}, tuple(crashes)))
        await asyncio.sleep(1.0)
        assert [held_parts(node) for node in nodes] == [set()] * 4

    run_scenario(scenario)


# Guards against evidence of parts that is lost while the service refuses the node that has it.
def test_reports_on_parts_are_relayed_for_a_refused_node() -> None:
    async def scenario(service: Service) -> None:
        refused, storage, other = (Node(service, number) for number in range(3))
        service.refused_nodes = {refused.number}
        refused.relays = [storage]
        for number in range(3):
            refused.poison_requests.parts.record_crash(crash_report(number))
        await asyncio.sleep(2.0)
        assert held_parts(other) == {BAD_PART, POPULAR_PART}
        refused.poison_requests.parts.record_sound([POPULAR_PART], time() + 0.1)
        await asyncio.sleep(10.0)
        assert held_parts(other) == {BAD_PART}

    run_scenario(scenario)
