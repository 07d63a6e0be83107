"""Streams that go on at one software version get slots at it, and do not block other requests."""

from random import Random

from tests.routing.versioned_backends import backend
from wharfcart.configuration.instances import SoftwareVersion
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.slots.events import (
    Granted,
    HolderId,
    NoSlot,
    RefusalCause,
    Refused,
    RequestMode,
    SessionKey,
    SessionOpened,
    SlotInstruction,
    SlotNumber,
    SlotReleased,
    SlotRequested,
)
from wharfcart.slots.granter import SlotGranter
from wharfcart.slots.messages import request_from_message, request_to_message

GATEWAY = SessionKey(HolderId("g"), 1)
V1, V2, V3 = (SoftwareVersion(name) for name in ("v1", "v2", "v3"))


class GranterHarness:
    """A granter with one back end of each of two versions."""

    def __init__(self, slots: int = 1) -> None:
        selector = BackendSelector("z", Random(1))
        selector.put(backend("i1", V1, slots))
        selector.put(backend("i2", V2, slots))
        self.granter = SlotGranter(selector, lambda _instance: True)
        self.number = 0
        self.granter.handle(SessionOpened(GATEWAY, "z"), 0.0)

    def request(
        self, version: SoftwareVersion | None, queue_deadline: float = 20.0, **more: object
    ) -> list[SlotInstruction]:
        self.number += 1
        slot_request = SlotRequested(
            GATEWAY,
            SlotNumber(self.number),
            "s",
            9.0,
            queue_deadline,
            RequestMode.WAIT,
            version=version,
            **more,
        )
        return self.granter.handle(slot_request, 0.0)

    def release(self, number: int) -> list[SlotInstruction]:
        return self.granter.handle(SlotReleased(GATEWAY, SlotNumber(number)), 0.0)


def granted(number: int, instance_id: str) -> list[SlotInstruction]:
    return [Granted(GATEWAY, SlotNumber(number), instance_id)]


# Guards against a grant at another software version than the one that began the stream.
def test_a_stream_gets_slots_at_its_version_only() -> None:
    harness = GranterHarness(slots=2)
    assert harness.request(V2) == granted(1, "i2")
    assert harness.request(V2) == granted(2, "i2")
    assert harness.request(V2) == []
    assert harness.request(V1) == granted(4, "i1")


# Guards against a stream that waits until its deadline for a version that nobody runs.
def test_a_stream_whose_version_has_no_back_end_gets_no_slot_at_once() -> None:
    assert GranterHarness().request(V3) == [NoSlot(GATEWAY, SlotNumber(1))]


# Guards against new streams that wait behind those which wait for one version, and the reverse.
def test_streams_that_wait_for_a_version_and_other_requests_do_not_block_each_other() -> None:
    harness = GranterHarness()
    assert harness.request(V1) == granted(1, "i1")
    assert harness.request(V1) == []
    assert harness.request(None) == granted(3, "i2")
    assert harness.request(None) == []
    assert harness.request(V2) == []
    assert harness.release(1) == granted(2, "i1")
    assert harness.release(3) in (granted(4, "i2"), granted(5, "i2"))


# Guards against a retry time that counts places at versions which can't take the stream.
def test_a_refused_stream_learns_the_places_and_the_queue_of_its_version() -> None:
    harness = GranterHarness(slots=2)
    for _ in range(4):
        harness.request(None)
    harness.request(None)
    harness.request(V1, queue_deadline=1.0)
    refused = [i for i in harness.granter.tick(1.5) if isinstance(i, Refused)]
    assert [(r.number, r.cause, r.slots, r.waiting) for r in refused] == [
        (6, RefusalCause.TIMED_OUT, 2, 0)
    ]


# Guards against a version that is lost between gateway and granting node.
def test_the_version_of_a_slot_request_is_sent() -> None:
    for version in (None, SoftwareVersion(""), V1):
        slot_request = SlotRequested(GATEWAY, SlotNumber(1), "s", 1.0, 2.0, version=version)
        message = request_to_message(0, slot_request, "", 0.0)
        assert request_from_message(GATEWAY, message, 0.0).version == version
