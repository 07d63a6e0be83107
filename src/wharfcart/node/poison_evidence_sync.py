"""Shares evidence of poison requests between nodes through the coordination service.

The service stores one key per request fingerprint, and the reports on parts of prompts
(:mod:`.crash_report_keys`). The mirror delivers it to all nodes, including
ones that start later and ones in other regions. A node that cannot write to the service relays its
evidence to some storage nodes, which write it or relay it further. During an outage of the service,
each node uses the evidence it has.
"""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from time import time

from wharfcart.admission.crashing_parts import CrashId
from wharfcart.admission.poison_requests import (
    EVIDENCE_TTL_S,
    BackendCrash,
    PoisonEvidence,
    PoisonRequests,
)
from wharfcart.admission.prompt_parts import PromptPartKey
from wharfcart.admission.request_fingerprint import RequestFingerprint
from wharfcart.clock import monotonic
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
from wharfcart.node.crash_report_keys import (
    report_from,
    report_from_message,
    report_key,
    report_to_bytes,
    reports_to_message,
    sound_part_from,
    sound_part_key,
    sound_part_to_bytes,
)
from wharfcart.node.fleet_keys import (
    CRASH_REPORT_PREFIX,
    POISON_REQUEST_PREFIX,
    SOUND_PART_PREFIX,
)

# All runs of a crashed back end are interrupted within this time and written together.
BATCH_DELAY_S = 0.01
# After a conflict, the other node's change arrives within this time.
CONFLICT_RETRY_S = 0.1
UNAVAILABLE_RETRY_S = 0.5
# Upper limit of the exponential delay.
MAX_RETRY_S = 4.0
# Between two removals of expired evidence.
CLEANUP_INTERVAL_S = 60.0
# Of the random name of a process in the keys of its reports.
WRITER_BITS = 48
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
        self._parts = poison_requests.parts
        self._writer = f"{int(random.random() * 2**WRITER_BITS):x}"
        self._crash_ids_by_key: dict[str, CrashId] = {}
        self._next_cleanup_at = 0.0
        poison_requests.on_update = self._pending.set
        self._parts.on_update = self._pending.set

    def apply_change(self, change: KeyChange) -> None:
        """Apply a change of the shared evidence on a fingerprint, a crash or a part of prompts."""
        if change.key.startswith(CRASH_REPORT_PREFIX):
            self._apply_report(change)
            return
        if change.key.startswith(SOUND_PART_PREFIX):
            self._apply_sound_part(change)
            return
        fingerprint = RequestFingerprint(change.key.removeprefix(POISON_REQUEST_PREFIX))
        record = record_from(change.value)
        self._poison_requests.apply_shared(
            fingerprint, None if record is None else record.clamped_to(time())
        )

    def _apply_report(self, change: KeyChange) -> None:
        report = report_from(change.value)
        if report is not None:
            self._crash_ids_by_key[change.key] = report.crash_id
            self._parts.apply_report(replace(report, at=min(report.at, time())))
            return
        removed = self._crash_ids_by_key.pop(change.key, None)
        if removed is not None:
            self._parts.remove(removed)

    def _apply_sound_part(self, change: KeyChange) -> None:
        sound = sound_part_from(change.value)
        if sound is not None:
            part, at = sound
            self._parts.apply_sound(part, min(at, time()))

    def apply_relayed(self, message: BackendEnds) -> None:
        """Apply evidence that another node could not write to the service."""
        for evidence in message.contents:
            crashes = {
                crash.instance_id: BackendCrash(crash.at, crash.weight) for crash in evidence.ends
            }
            record = PoisonEvidence(crashes).clamped_to(time())
            self._poison_requests.record_peer_evidence(RequestFingerprint(evidence.content), record)
        for entry in message.reports:
            report = report_from_message(entry)
            self._parts.relay_report(replace(report, at=min(report.at, time())))
        for sound in message.sound_parts:
            self._parts.record_sound([PromptPartKey(sound.part)], min(sound.at, time()))

    async def run(self) -> None:
        """Write pending evidence and remove expired evidence until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(CLEANUP_INTERVAL_S * self._jitter()):
                    await self._pending.wait()
            self._pending.clear()
            await asyncio.sleep(BATCH_DELAY_S)
            # Reports first: their keys are this node's own, so that no conflict delays them.
            while not await self._write_reports():
                pass
            while not await self._write_pending():
                pass

    async def _write_reports(self) -> bool:
        """Write pending reports and remove expired ones; False if there is more or a retry."""
        reports = self._parts.unpublished_reports(MAX_KEYS_WRITTEN)
        sound_at = dict(list(self._parts.unpublished_sound().items())[:MAX_KEYS_WRITTEN])
        expired = self._expired_keys()[:MAX_KEYS_REMOVED]
        if not reports and not sound_at and not expired:
            return True
        put = {report_key(report, self._writer): report_to_bytes(report) for report in reports}
        for part, at in sound_at.items():
            put[sound_part_key(part)] = sound_part_to_bytes(part, at)
        expected = {change.key: change.revision for change in expired}
        try:
            await self._service.commit(Transaction(expected, put, tuple(expected)))
        except ConditionFailedError:
            await self._back_off(CONFLICT_RETRY_S)
            return False
        except CoordinationUnavailableError:
            if reports or sound_at:
                self._relay(reports_to_message(reports, sound_at))
            await self._back_off(UNAVAILABLE_RETRY_S)
            return False
        self._failures = 0
        self._parts.mark_published(reports)
        for part, at in sound_at.items():
            self._parts.apply_sound(part, at)
        return False

    def _expired_keys(self) -> list[KeyChange]:
        """Return the keys of expired reports, looked up once in each cleanup interval."""
        now = monotonic()
        if now < self._next_cleanup_at:
            return []
        self._next_cleanup_at = now + CLEANUP_INTERVAL_S * self._jitter()
        entries = [
            *self._mirror.with_prefix(CRASH_REPORT_PREFIX),
            *self._mirror.with_prefix(SOUND_PART_PREFIX),
        ]
        return [change for change in entries if time() - _written_at(change) > EVIDENCE_TTL_S]

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


def _written_at(change: KeyChange) -> float:
    """Return the time that a report or a sound part tells; 0 if it is malformed."""
    report = report_from(change.value)
    if report is not None:
        return report.at
    sound = sound_part_from(change.value)
    return 0.0 if sound is None else sound[1]


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
