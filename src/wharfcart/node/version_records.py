"""Software versions of each service, kept in the coordination service.

Callers resume streams for some time after the version that began them has gone. Whatever processes
and disks are lost meanwhile, a node that starts learns here which versions served until shortly
before, so that it never takes the only one that is left for the only one there was.

Storage nodes write the records: when a version is first listed, and once its streams have ended.
"""

import asyncio
import json
from collections import defaultdict
from collections.abc import Collection
from hashlib import blake2b

from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import (
    ConditionFailedError,
    CoordinationService,
    CoordinationUnavailableError,
    KeyChange,
    Transaction,
)
from wharfcart.cluster.mirror import Mirror
from wharfcart.cluster.randomness import RandomSource
from wharfcart.configuration.instances import BackendSoftware, SoftwareVersion
from wharfcart.node.fleet_keys import VERSION_RECORD_PREFIX
from wharfcart.routing.backend_selection import BackendSelector

CHECK_INTERVAL_S = 0.1
# Each node waits for a random part of this, so that one writes and the others see it.
MAX_WRITE_DELAY_S = 0.4
MAX_RETRY_S = 4.0
MAX_RECORDS_WRITTEN = 10  # in one transaction
KEY_DIGEST_BYTES = 12

Record = tuple[str, frozenset[SoftwareVersion]]


class VersionRecords:
    """Applies the records to a node's selector; writes them on storage nodes.

    Args:
        selector: the node's state of the back ends.
        service: the coordination service.
        mirror: mirror of the service's keys.
        random: source of the writers' delays.
    """

    def __init__(
        self,
        selector: BackendSelector,
        service: CoordinationService,
        mirror: Mirror,
        random: RandomSource,
    ) -> None:
        self._selector = selector
        self._service = service
        self._mirror = mirror
        self._random = random
        self._versions_by_service: dict[str, frozenset[SoftwareVersion]] = {}

    def apply_change(self, change: KeyChange) -> None:
        """Apply a record; a removed or malformed one leaves what was known."""
        record = record_from(change.value)
        if record is None:
            return
        service, versions = record
        now = monotonic()
        self._versions_by_service[service] = versions
        self._selector.apply_version_record(service, versions, now)

    async def run(self) -> None:
        """Write changed records until cancelled."""
        failures = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._outdated():
                continue
            await asyncio.sleep(self._random.random() * MAX_WRITE_DELAY_S)
            try:
                await self._write(self._outdated())
                failures = 0
            except (CoordinationUnavailableError, ConditionFailedError):
                failures += 1
                await asyncio.sleep(min(MAX_RETRY_S, CHECK_INTERVAL_S * 2.0**failures))

    def _outdated(self) -> list[Record]:
        """Return the records that differ from what this node knows, as they should be."""
        now = monotonic()
        if not self._mirror.loaded:
            return []
        recent = _by_service(self._selector.recent_software(now))
        listed = _by_service(self._selector.listed_software())
        outdated = []
        for service in recent.keys() | self._versions_by_service.keys():
            recorded = self._versions_by_service.get(service, frozenset())
            # Of others that it remembers, a node can't tell whether they have expired elsewhere.
            wanted = (recorded & recent[service]) | listed[service]
            if wanted != recorded:
                outdated.append((service, wanted))
        return outdated

    async def _write(self, records: list[Record]) -> None:
        for start in range(0, len(records), MAX_RECORDS_WRITTEN):
            part = records[start : start + MAX_RECORDS_WRITTEN]
            known = {
                record_key(service): self._mirror.get(record_key(service)) for service, _ in part
            }
            expected = {key: 0 if entry is None else entry.revision for key, entry in known.items()}
            put = {
                record_key(service): record_to_bytes(service, versions)
                for service, versions in part
            }
            await self._service.commit(Transaction(expected, put, ()))
            # The mirror brings the records a moment later.
            self._versions_by_service.update(part)


def _by_service(
    software: Collection[BackendSoftware],
) -> defaultdict[str, frozenset[SoftwareVersion]]:
    versions: defaultdict[str, frozenset[SoftwareVersion]] = defaultdict(frozenset)
    for service, version in software:
        versions[service] |= {version}
    return versions


def record_key(service: str) -> str:
    """Return the key of a service's record."""
    digest = blake2b(service.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
    return VERSION_RECORD_PREFIX + digest


def record_to_bytes(service: str, versions: Collection[SoftwareVersion]) -> bytes:
    """Serialize a record."""
    return json.dumps({"service": service, "versions": sorted(versions)}).encode()


def record_from(value: bytes | None) -> Record | None:
    """Parse a record; None if it was removed or is malformed."""
    try:
        fields = json.loads(value or b"")
        versions = frozenset(SoftwareVersion(str(version)) for version in fields["versions"])
        return str(fields["service"]), versions
    except (ValueError, TypeError, LookupError, RecursionError):
        return None
