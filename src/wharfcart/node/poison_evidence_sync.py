"""Shares evidence of poison requests between nodes through the coordination service.

The service stores one key per request fingerprint. The mirror delivers it to all nodes, including
ones that start later and ones in other regions. A node that cannot write to the service relays its
evidence to some storage nodes, which write it or relay it further. During an outage of the service,
each node uses the evidence it has.
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

# All runs of a crashed back end are interrupted within this time and written together.
BATCH_DELAY_S = 0.01
# After a conflict, the other node's change arrives within this time.
CONFLICT_RETRY_S = 0.1
UNAVAILABLE_RETRY_S = 0.5
# Upper limit of the exponential delay.
MAX_RETRY_S = 4.0
# Between two removals of expired evidence.
CLEANUP_INTERVAL_S = 60.0
# Limits of one transaction, in which each of these keys also has a condition.
MAX_KEYS_WRITTEN = 10
MAX_KEYS_REMOVED = 6


class PoisonEvidenceSync:
    """Writes this node's evidence to the service and applies the evidence of other nodes.

    Args:
        poison_requests: evidence known to this node.
        service: the coordination service.
        mirror: mirror of the service's keys.
        random: source of the retries' jitter.
        relay: sends evidence to some storage nodes if the service does not accept it.
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
        """Apply a change of the shared evidence on a request fingerprint."""
        fingerprint = RequestFingerprint(change.key.removeprefix(POISON_REQUEST_PREFIX))
        record = record_from(change.value)
        self._poison_requests.apply_shared(
            fingerprint, None if record is None else record.clamped_to(time())
        )

    def apply_relayed(self, message: BackendEnds) -> None:
        """Apply evidence that another node could not write to the service."""
        for evidence in message.contents:
            crashes = {
                crash.instance_id: BackendCrash(crash.at, crash.weight) for crash in evidence.ends
            }
            record = PoisonEvidence(crashes).clamped_to(time())
            self._poison_requests.record_peer_evidence(RequestFingerprint(evidence.content), record)

    async def run(self) -> None:
        """Write pending evidence and remove expired evidence until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(CLEANUP_INTERVAL_S * self._jitter()):
                    await self._pending.wait()
            self._pending.clear()
            await asyncio.sleep(BATCH_DELAY_S)
            while not await self._write_pending():
                pass

    async def _write_pending(self) -> bool:
        """Write pending evidence; False if there is more or a retry is needed."""
        pending = self._poison_requests.unpublished(MAX_KEYS_WRITTEN)
        expired = [
            fingerprint
            for fingerprint in self._poison_requests.removable(time(), MAX_KEYS_REMOVED)
            if fingerprint not in pending
        ]
        stored = [
            fingerprint
            for fingerprint in expired
            if self._mirror.get(_key(fingerprint)) is not None
        ]
        if not pending and not stored:
            self._poison_requests.mark_removed(expired)
            return True
        transaction = Transaction(
            {_key(fingerprint): self._revision(fingerprint) for fingerprint in (*pending, *stored)},
            {_key(fingerprint): record_to_bytes(record) for fingerprint, record in pending.items()},
            tuple(_key(fingerprint) for fingerprint in stored),
        )
        try:
            await self._service.commit(transaction)
        except ConditionFailedError:
            await self._back_off(CONFLICT_RETRY_S)
            return False
        except CoordinationUnavailableError:
            # The write may have happened; repeating it is harmless.
            if pending:
                self._relay(crashes_to_message(pending))
            await self._back_off(UNAVAILABLE_RETRY_S)
            return False
        self._failures = 0
        self._poison_requests.mark_published(pending)
        self._poison_requests.mark_removed(expired)
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
    """Serialize evidence for another node."""
    return BackendEnds(
        contents=[
            ContentEnds(
                content=fingerprint,
                ends=[
                    InstanceEnd(instance_id=instance_id, at=crash.at, weight=crash.weight)
                    for instance_id, crash in record.crashes_by_key.items()
                ],
            )
            for fingerprint, record in record_by_fingerprint.items()
        ]
    )


def record_to_bytes(record: PoisonEvidence) -> bytes:
    """Serialize the evidence on a request fingerprint."""
    crashes = {
        key: [round(crash.at, 3), crash.weight] for key, crash in record.crashes_by_key.items()
    }
    return json.dumps(crashes, sort_keys=True).encode()


def record_from(value: bytes | None) -> PoisonEvidence | None:
    """Parse the evidence on a request fingerprint; None if it was removed or is malformed."""
    if value is None:
        return None
    try:
        crashes = {
            str(key): BackendCrash(float(at), float(weight))
            for key, (at, weight) in json.loads(value).items()
        }
    except (ValueError, TypeError, AttributeError):
        return None
    return PoisonEvidence(crashes)


def _key(fingerprint: RequestFingerprint) -> str:
    return POISON_REQUEST_PREFIX + fingerprint
