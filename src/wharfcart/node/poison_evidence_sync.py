"""What nodes share of requests that back ends ended under: kept in the coordination service.

One key a content. It reaches every node with the mirror, also one that starts later or that
another region's storage nodes grant slots to. A node that the service refuses tells some storage
nodes, and these tell it or others in turn. While the service is away from all, each node goes by
what it knows.
"""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from time import time

from wharfcart.admission.poison_requests import BackendCrash, PoisonEvidence, PoisonRequests
from wharfcart.admission.request_fingerprint import RequestFingerprint
from wharfcart.cluster.coordination import (
    ConditionFailedError,
    CoordinationService,
    CoordinationUnavailableError,
    KeyChange,
    Transaction,
)
from wharfcart.cluster.messages_pb2 import BackendEnds, ContentEnds, InstanceEnd
from wharfcart.cluster.mirror import Mirror
from wharfcart.cluster.randomness import RandomSource
from wharfcart.node.fleet_keys import POISON_REQUEST_PREFIX

# All runs of a back end that ended break off within this time; they are told together.
BATCH_DELAY_S = 0.01
# A condition fails when another node was faster; its change arrives within this time.
CONFLICT_RETRY_S = 0.1
UNAVAILABLE_RETRY_S = 0.5
# Each further try waits twice as long, up to this.
MAX_RETRY_S = 4.0
# So often a node looks for evidence that is old, so that none is kept for ever.
CLEANUP_INTERVAL_S = 60.0
# A transaction has so many entries at most: conditions, keys that are written and that go.
MAX_KEYS_WRITTEN = 10
MAX_KEYS_REMOVED = 6


class PoisonEvidenceSync:
    """Tells the others what this node has seen, and takes what they tell.

    Args:
        suspects: of this node.
        service: where evidence is kept.
        mirror: of the service's keys.
        random: spreads further tries.
        relay: tells some storage nodes what the service would not take.
    """

    def __init__(
        self,
        poison_requests: PoisonRequests,
        service: CoordinationService,
        mirror: Mirror,
        random: RandomSource,
        relay: Callable[[BackendEnds], None],
    ) -> None:
        self._poison_requests = poison_requests
        self._relay = relay
        self._service = service
        self._mirror = mirror
        self._random = random
        self._failures = 0
        self._pending = asyncio.Event()
        poison_requests.on_update = self._pending.set

    def apply_change(self, change: KeyChange) -> None:
        """Take what was shared of a content."""
        content = RequestFingerprint(change.key.removeprefix(POISON_REQUEST_PREFIX))
        record = record_from(change.value)
        self._poison_requests.apply_shared(
            content, None if record is None else record.clamped_to(time())
        )

    def apply_relayed(self, message: BackendEnds) -> None:
        """Take what another node could not tell the service."""
        for told in message.contents:
            ends = {end.instance_id: BackendCrash(end.at, end.weight) for end in told.ends}
            record = PoisonEvidence(ends).clamped_to(time())
            self._poison_requests.record_peer_evidence(RequestFingerprint(told.content), record)

    async def run(self) -> None:
        """Tell what there is to tell, until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(CLEANUP_INTERVAL_S * self._jitter()):
                    await self._pending.wait()
            self._pending.clear()
            await asyncio.sleep(BATCH_DELAY_S)
            while not await self._write_pending():
                pass

    async def _write_pending(self) -> bool:
        """Tell what is untold; False if there is more, or it has to be tried again."""
        untold = self._poison_requests.unpublished(MAX_KEYS_WRITTEN)
        over = [
            content
            for content in self._poison_requests.removable(time(), MAX_KEYS_REMOVED)
            if content not in untold
        ]
        there = [content for content in over if self._mirror.get(_key(content)) is not None]
        if not untold and not there:
            self._poison_requests.mark_removed(over)
            return True
        transaction = Transaction(
            {_key(content): self._revision(content) for content in (*untold, *there)},
            {_key(content): record_to_bytes(record) for content, record in untold.items()},
            tuple(_key(content) for content in there),
        )
        try:
            await self._service.commit(transaction)
        except ConditionFailedError:
            await self._back_off(CONFLICT_RETRY_S)
            return False
        except CoordinationUnavailableError:
            # Whether it was done or not: the mirror tells, and the same may be written twice.
            if untold:
                self._relay(crashes_to_message(untold))
            await self._back_off(UNAVAILABLE_RETRY_S)
            return False
        self._failures = 0
        self._poison_requests.mark_published(untold)
        self._poison_requests.mark_removed(over)
        return False

    def _revision(self, fingerprint: RequestFingerprint) -> int:
        known = self._mirror.get(_key(fingerprint))
        return 0 if known is None else known.revision

    async def _back_off(self, seconds: float) -> None:
        self._failures += 1
        seconds = min(MAX_RETRY_S, seconds * 2.0 ** (self._failures - 1))
        await asyncio.sleep(seconds * self._jitter())

    def _jitter(self) -> float:
        return 0.5 + self._random.random()


def crashes_to_message(
    record_by_fingerprint: dict[RequestFingerprint, PoisonEvidence],
) -> BackendEnds:
    """Write what is known of some contents, for another node."""
    return BackendEnds(
        contents=[
            ContentEnds(
                content=content,
                ends=[
                    InstanceEnd(instance_id=instance_id, at=end.at, weight=end.weight)
                    for instance_id, end in record.crashes_by_key.items()
                ],
            )
            for content, record in record_by_fingerprint.items()
        ]
    )


def record_to_bytes(record: PoisonEvidence) -> bytes:
    """Write what is known of a content."""
    ends = {key: [round(end.at, 3), end.weight] for key, end in record.crashes_by_key.items()}
    return json.dumps(ends, sort_keys=True).encode()


def record_from(value: bytes | None) -> PoisonEvidence | None:
    """Read what is known of a content; None if nothing is, or it is of another form."""
    if value is None:
        return None
    try:
        ends = {
            str(key): BackendCrash(float(at), float(weight))
            for key, (at, weight) in json.loads(value).items()
        }
    except (ValueError, TypeError, AttributeError):
        return None
    return PoisonEvidence(ends)


def _key(fingerprint: RequestFingerprint) -> str:
    return POISON_REQUEST_PREFIX + fingerprint
