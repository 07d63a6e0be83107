"""Propagation driver: synchronizes configuration, directory and placement between nodes.

Two nodes, chosen by rendezvous hashing, read the key-value service and the machine list; the others
compare announced revisions and pull what they lack.
"""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import asdict, dataclass
from typing import Any

from wharfcart.admin.configuration_store import ConfigurationStore
from wharfcart.cluster.address import Address
from wharfcart.cluster.gossip import GossipDriver
from wharfcart.cluster.membership import PeerRevisions
from wharfcart.cluster.messages_pb2 import (
    CONFIGURATION,
    DIRECTORY,
    Entries,
    Entry,
    Frame,
    Namespace,
    PullEntries,
    PullPlacement,
    ShardPlacement,
)
from wharfcart.cluster.placement_map import PlacementMap
from wharfcart.cluster.rendezvous import rendezvous_order
from wharfcart.cluster.transport import PeerUnreachableError, Transport
from wharfcart.configuration.directory_map import DirectoryMap
from wharfcart.configuration.revisioned_map import RevisionedMap
from wharfcart.errors import ServingError
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.platform.key_value import KeyValueUnavailableError
from wharfcart.platform.machine_list import (
    ListedMachine,
    MachineList,
    MachineListUnavailableError,
)

READER_COUNT = 2
HEAD_POLL_INTERVAL_S = 2.5
MACHINE_POLL_INTERVAL_S = 1.0
PULL_TIMEOUT_S = 3.0
JITTER = 0.2

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class PropagationHooks:
    """Callbacks of the node for changes that took effect."""

    configuration_changed: Callable[[list[Entry]], None]
    directory_changed: Callable[[list[Entry]], None]
    placement_changed: Callable[[list[ShardPlacement]], None]


class PropagationDriver:
    """One node's copy of the shared state, kept up to date from peers and the platform.

    Args:
        gossip: announces this node's revisions and reports those of peers.
        transport: calls to peers.
        store: the configuration in the key-value service.
        machine_list: the platform's list of machines.
        hooks: callbacks for changes.

    Attributes:
        configuration: entries of the configuration.
        directory: entries of the directory of back ends.
        placement: placement of the journal's shards.
        has_read_key_value: whether this node has read the configuration from the service itself.
    """

    def __init__(
        self,
        gossip: GossipDriver,
        transport: Transport,
        store: ConfigurationStore,
        machine_list: MachineList,
        hooks: PropagationHooks,
    ) -> None:
        self.configuration = RevisionedMap()
        self.directory = DirectoryMap()
        self.placement = PlacementMap()
        self._gossip = gossip
        self._transport = transport
        self._store = store
        self._machine_list = machine_list
        self._hooks = hooks
        self._pulling: set[str] = set()
        self._tasks = BackgroundTasks()
        self._last_machines: dict[str, ListedMachine] | None = None
        self._newest_known_revision = 0
        self.has_read_key_value = False

    @property
    def ready(self) -> bool:
        """Whether this node has the newest configuration that its peers know.

        Peers without a configuration do not count. Otherwise, if all nodes start while the
        key-value service is down, they would become ready and reject all callers' keys.
        """
        informed = self.configuration.revision > 0 or self.has_read_key_value
        return informed and self.configuration.revision >= self._newest_known_revision

    def start(self) -> None:
        """Start to read from the platform."""
        self._tasks.supervise(self._read_key_value)
        self._tasks.supervise(self._read_machines)

    async def stop(self) -> None:
        """Stop all reads and pulls."""
        self._tasks.cancel()

    # ---- local updates ----

    def apply_configuration(self, entries: Iterable[Entry], revision: int) -> None:
        """Apply entries of the configuration and announce the new revision to peers."""
        changed = self.configuration.merge(entries, revision)
        self._newest_known_revision = max(self._newest_known_revision, revision)
        if changed:
            self._hooks.configuration_changed(changed)
        self._announce()

    def publish(self, key: str, value: bytes | None) -> None:
        """Set a directory entry; None deletes it."""
        known = self.directory.entries.get(key)
        min_revision = known.revision + 1 if known is not None else 0
        revision = max(int(time.time() * 1000), min_revision)
        entry = Entry(key=key, value=value or b"", deleted=value is None, revision=revision)
        self._apply_directory([entry], revision)

    def apply_placement(self, placements: Iterable[ShardPlacement], shard_count: int = 0) -> None:
        """Apply placements of shards.

        Args:
            placements: placements of some or all shards.
            shard_count: number of shards; 0 if the source does not know it.
        """
        changed = self.placement.merge(placements, shard_count)
        if changed:
            self._hooks.placement_changed(changed)
        self._announce()

    def _apply_directory(self, entries: Iterable[Entry], revision: int) -> None:
        changed = self.directory.merge(entries, revision)
        if changed:
            self._hooks.directory_changed(changed)
        self._announce()

    def _announce(self) -> None:
        self._gossip.announce(
            self.configuration.revision,
            self.placement.digest,
            self.directory.revision,
            self.directory.digest,
        )

    # ---- updates from peers ----

    def peer_revisions_received(self, peer: PeerRevisions) -> None:
        """Pull what a peer has and this node lacks."""
        self._newest_known_revision = max(self._newest_known_revision, peer.configuration_revision)
        address = self._gossip.address_of(peer.node_id)
        if address is None:
            return
        if peer.configuration_revision > self.configuration.revision:
            self._start_pull("configuration", self._pull_configuration(address))
        if self._may_lack_directory_entries_of(peer):
            has_digest = peer.directory_digest != 0
            self._start_pull("directory", self._pull_directory(address, has_digest))
        if peer.placement_version not in (0, self.placement.digest):
            self._start_pull("placement", self._pull_placement(address))

    def _start_pull(self, kind: str, work: Coroutine[Any, Any, None]) -> None:
        if kind in self._pulling:
            work.close()
            return
        self._pulling.add(kind)
        task = self._tasks.spawn(work)
        task.add_done_callback(lambda _: self._pulling.discard(kind))

    def _may_lack_directory_entries_of(self, peer: PeerRevisions) -> bool:
        if peer.directory_digest:
            return peer.directory_digest != self.directory.digest
        return peer.directory_revision > self.directory.revision

    async def _pull_configuration(self, address: Address) -> None:
        since = self.configuration.pull_revision()
        call = Frame(pull_entries=PullEntries(namespace=CONFIGURATION, since_revision=since))
        answer = await self._call(address, call)
        if answer is not None:
            self.apply_configuration(answer.entries.entries, answer.entries.revision)

    async def _pull_directory(self, address: Address, has_digest: bool) -> None:
        """Pull the entries of the buckets that differ.

        Args:
            address: address of the peer.
            has_digest: whether the peer compares digests.
        """
        pull = PullEntries(namespace=DIRECTORY, since_revision=self.directory.pull_revision())
        if has_digest:
            pull.bucket_digests.extend(self.directory.bucket_digests)
        else:
            pull.since_revision = self.directory.overlapping_revision()
        answer = await self._call(address, Frame(pull_entries=pull))
        if answer is not None:
            self._apply_directory(answer.entries.entries, answer.entries.revision)

    async def _pull_placement(self, address: Address) -> None:
        answer = await self._call(address, Frame(pull_placement=PullPlacement()))
        if answer is not None:
            placement = answer.placement
            self.apply_placement(placement.shards, placement.shard_count)

    async def _call(self, address: Address, frame: Frame) -> Frame | None:
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                return await self._transport.call(address, frame)
        except (PeerUnreachableError, TimeoutError, ServingError) as error:
            logger.debug("pull failed", extra={"cause": repr(error)})
            return None

    def serve_pull(self, pull: PullEntries) -> Entries:
        """Answer a peer's pull."""
        if pull.namespace == DIRECTORY and pull.bucket_digests:
            return Entries(
                namespace=DIRECTORY,
                revision=self.directory.revision,
                entries=self.directory.entries_of_other_buckets(pull.bucket_digests),
            )
        known = self._map_of(pull.namespace)
        return Entries(
            namespace=pull.namespace,
            revision=known.revision,
            entries=known.changes_since(pull.since_revision),
        )

    def _map_of(self, namespace: Namespace) -> RevisionedMap:
        return self.configuration if namespace == CONFIGURATION else self.directory

    # ---- updates from the platform ----

    def _is_reader(self, role: str) -> bool:
        live = [member.node_id for member in self._gossip.membership.live()]
        return (
            self._gossip.membership.local_member.node_id
            in rendezvous_order(role, live)[:READER_COUNT]
        )

    async def _read_key_value(self) -> None:
        while True:
            # A node without up-to-date peers reads the service itself to become ready.
            if self._is_reader("key-value-reader") or not self.ready:
                try:
                    await self._read_configuration()
                except KeyValueUnavailableError as error:
                    logger.info("key-value service unavailable", extra={"cause": str(error)})
            await asyncio.sleep(HEAD_POLL_INTERVAL_S * _jitter())

    async def _read_configuration(self) -> None:
        head = await self._store.read_head()
        known = self.configuration.revision
        # A service restored from a backup may have a lower revision, which is ignored.
        if head.revision > known:
            entries = await self._store.read_entries(known)
            self.apply_configuration(entries, head.revision)
        self.has_read_key_value = True

    async def _read_machines(self) -> None:
        while True:
            if self._is_reader("machine-list-reader"):
                try:
                    self._apply_machine_list(await self._machine_list.fetch())
                except MachineListUnavailableError as error:
                    logger.info("machine list unavailable", extra={"cause": str(error)})
            else:
                self._last_machines = None
            await asyncio.sleep(MACHINE_POLL_INTERVAL_S * _jitter())

    def _apply_machine_list(self, machines: list[ListedMachine]) -> None:
        # Publish only changes between two reads of this reader; otherwise two readers whose lists
        # lag differently would overwrite each other's entries forever.
        current = {machine.machine_id: machine for machine in machines}
        previous = (
            self._last_machines
            if self._last_machines is not None
            else self._machines_in_directory()
        )
        for machine_id, machine in current.items():
            if previous.get(machine_id) != machine:
                self.publish(f"machine/{machine_id}", json.dumps(asdict(machine)).encode())
        for machine_id in previous.keys() - current.keys():
            self.publish(f"machine/{machine_id}", None)
        self._last_machines = current

    def _machines_in_directory(self) -> dict[str, ListedMachine]:
        return {
            key.removeprefix("machine/"): ListedMachine(**json.loads(value))
            for key, value in self.directory.live_values().items()
            if key.startswith("machine/")
        }


def _jitter() -> float:
    return 1 + JITTER * (2 * random.random() - 1)
