"""Answers of the metadata store that end early."""

import pytest
import uvloop

from tests.routing.shaped_backends import ShapedServer
from wharfcart.cluster.coordination import ChangeBatch, CoordinationUnavailableError
from wharfcart.emulator.answer_shapes import AnswerFraming, AnswerShape, Cut
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform.metadata_store import MetadataStore

PAGE = [
    b'{"at": 7, "more": false, ',
    b'"requests": [{"key": "k", "revision": 3, ',
    b'"value": ""}]}',
]
CALLS = ServingMetrics().coordination_calls


async def read_all(shape: AnswerShape) -> ChangeBatch:
    """Read every key from a store whose answers have a shape."""
    server = ShapedServer(shape, PAGE, "application/json")
    await server.start()
    try:
        return await MetadataStore(*server.address, CALLS).read_all()
    finally:
        server.stop()


# Guards against a listing that is short since the store's answer was broken off.
@pytest.mark.parametrize("framing", list(AnswerFraming))
@pytest.mark.parametrize("cut", [Cut.BEFORE_BODY, Cut.INSIDE_EVENT, Cut.BETWEEN_EVENTS])
def test_a_broken_off_page_is_no_listing(framing: AnswerFraming, cut: Cut) -> None:
    with pytest.raises(CoordinationUnavailableError):
        uvloop.run(read_all(AnswerShape(framing, cut)))


# Guards against a store that counts as unavailable since its answers have no length.
@pytest.mark.parametrize("framing", list(AnswerFraming))
def test_a_whole_page_is_a_listing(framing: AnswerFraming) -> None:
    assert [change.key for change in uvloop.run(read_all(AnswerShape(framing))).changes] == ["k"]
