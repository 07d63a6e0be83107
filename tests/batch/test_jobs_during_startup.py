"""Calls to a node that does not know the placement of all journal shards yet.

Guards against answering 404 for an existing job, and against sending an idempotency key to a wrong
shard, which would run its request again.
"""

import asyncio
from collections.abc import Coroutine
from typing import cast

import pytest

from wharfcart.batch.jobs import BatchApiService, NewJob
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame, ShardPlacement
from wharfcart.cluster.placement_map import PlacementMap
from wharfcart.cluster.rendezvous import shard_of
from wharfcart.cluster.transport import Transport
from wharfcart.configuration.schema import Tenant
from wharfcart.errors import Outcome, ServingError
from wharfcart.gateway.idempotency import IdempotencyService
from wharfcart.storage.journal_client import JournalClient

TENANT = "registry"
JOB_ON_SHARD_2 = "batch_0002d2159c8265534b8f8f61"
FILE_ON_SHARD_2 = "file-0002d2159c8265534b8f8f61"


class _UnreachableTransport:
    """Fails the test if the leader of a shard is called."""

    async def call(self, _address: object, _frame: Frame) -> Frame:
        raise AssertionError("no leader may be called")


def _address(_identity: str) -> Address:
    return Address("127.0.0.1", 1)


def _client(shards_on_disk: list[int]) -> JournalClient:
    """Return the client of a node that knows only the shards on its own disk."""
    placement = PlacementMap()
    placement.merge(
        ShardPlacement(shard=shard, replicas=["a", "b", "c"], version=7) for shard in shards_on_disk
    )
    return JournalClient(placement, cast(Transport, _UnreachableTransport()), _address)


def _jobs(shards_on_disk: list[int]) -> BatchApiService:
    return BatchApiService(_client(shards_on_disk), lambda _tenant, _name: None, 1024)


def _refusal(call: Coroutine[object, object, object]) -> ServingError:
    with pytest.raises(ServingError) as caught:
        asyncio.run(call)
    return caught.value


@pytest.mark.parametrize("shards_on_disk", [[], [0], [0, 1]])
@pytest.mark.parametrize("call", ["find", "cancel", "find_file", "list", "create"])
def test_a_node_without_the_full_placement_answers_unavailable(
    call: str, shards_on_disk: list[int]
) -> None:
    jobs = _jobs(shards_on_disk)
    new = NewJob(FILE_ON_SHARD_2, "/v1/chat/completions", 60.0, b"", "key")
    coroutines: dict[str, Coroutine[object, object, object]] = {
        "find": jobs.find(TENANT, JOB_ON_SHARD_2),
        "cancel": jobs.cancel(TENANT, JOB_ON_SHARD_2),
        "find_file": jobs.find_file(TENANT, FILE_ON_SHARD_2),
        "list": jobs.list(TENANT),
        "create": jobs.create(Tenant(name=TENANT), new),
    }
    chosen = coroutines.pop(call)
    for other in coroutines.values():
        other.close()
    refusal = _refusal(chosen)
    assert (refusal.code, refusal.status) == ("journal_unavailable", 503)
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_seconds is not None


def test_a_node_with_a_partial_placement_sends_no_key_to_a_wrong_shard() -> None:
    # The key maps to different shards for two known shards and for all three.
    key = next(
        key
        for key in (f"key-{number}" for number in range(100))
        if shard_of(f"request/{TENANT}/{key}", 2) != shard_of(f"request/{TENANT}/{key}", 3)
    )
    requests = IdempotencyService(_client([0, 1]), None, None, None, lambda _task: None)  # type: ignore[arg-type]
    refusal = _refusal(requests.look_up(TENANT, key))
    assert (refusal.code, refusal.status) == ("journal_unavailable", 503)
    assert refusal.outcome is Outcome.NOT_RUN


def test_an_id_that_names_no_shard_is_not_found() -> None:
    refusal = _refusal(_jobs([]).find(TENANT, "batch_none"))
    assert (refusal.code, refusal.status) == ("batch_not_found", 404)
