"""Membership driver: runs the membership core over UDP datagrams and a timer."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import cast

from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.membership import (
    MemberChanged,
    Membership,
    MembershipAction,
    PeerRevisions,
    SendGossip,
)
from wharfcart.cluster.messages_pb2 import DEAD, Gossip, Member

MAX_TICK_INTERVAL_S = 0.2

logger = logging.getLogger(__name__)


class GossipDriver(asyncio.DatagramProtocol):
    """Runs the membership protocol of one node.

    Args:
        local_member: this node's member record.
        seeds: addresses of nodes to join through.
        member_changed: called when the state of a member changes.
        peer_revision: called with the revisions that a peer reports.
        bytes_sent: called with the size of each datagram sent.
    """

    def __init__(
        self,
        local_member: Member,
        seeds: list[Address],
        member_changed: Callable[[Member], None],
        peer_revision: Callable[[PeerRevisions], None],
        bytes_sent: Callable[[int], None],
    ) -> None:
        self.membership = Membership(local_member, seeds, random.Random())
        self._member_changed = member_changed
        self._peer_revision = peer_revision
        self._bytes_sent = bytes_sent
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self, listen: Address) -> None:
        """Open the socket and join the cluster through the seeds."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(listen.host, listen.port))
        self._execute(self.membership.start(monotonic()))
        self._task = loop.create_task(self._run())

    async def leave(self) -> None:
        """Announce that this node leaves."""
        self._execute(self.membership.leave(monotonic()))

    async def stop(self) -> None:
        """Stop the timer and close the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def announce(
        self, configuration: int, placement_digest: int, directory: int, directory_digest: int
    ) -> None:
        """Announce the revisions known here to peers, if any has changed.

        Args:
            configuration: revision of the configuration.
            placement_digest: digest of the shard placement.
            directory: revision of the directory.
            directory_digest: digest of the directory.
        """
        membership = self.membership
        before = (
            membership.configuration_revision,
            membership.placement_version,
            membership.directory_revision,
            membership.directory_digest,
        )
        if before == (configuration, placement_digest, directory, directory_digest):
            return
        membership.configuration_revision = configuration
        membership.placement_version = placement_digest
        membership.directory_revision = directory
        membership.directory_digest = directory_digest
        self._execute(membership.announce_revision())

    def address_of(self, node_id: str) -> Address | None:
        """Return the address of a node; None if it is unknown."""
        member = self.membership.find(node_id)
        return None if member is None else Address(member.host, member.port)

    def address_of_storage(self, identity: str) -> Address | None:
        """Return the address of the node with a storage identity; None if there is none."""
        for member in [self.membership.local_member, *self.membership.members.values()]:
            # A node that has left still replicates until it stops.
            if member.storage_identity == identity and member.state != DEAD:
                return Address(member.host, member.port)
        return None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's UDP transport does not subclass asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram; malformed datagrams are dropped."""
        try:
            message = Gossip.FromString(data)
        except Exception:
            logger.warning("dropped a malformed datagram", extra={"sender": addr[0]})
            return
        now = monotonic()
        sender = Address(addr[0], addr[1])
        self._execute(self.membership.receive(message, sender, now))

    async def _run(self) -> None:
        while True:
            now = monotonic()
            delay_s = self.membership.next_deadline(now) - now
            await asyncio.sleep(min(MAX_TICK_INTERVAL_S, max(0.005, delay_s)))
            self._execute(self.membership.tick(monotonic()))

    def _execute(self, actions: Sequence[MembershipAction]) -> None:
        for action in actions:
            if isinstance(action, SendGossip):
                self._send(action)
            elif isinstance(action, MemberChanged):
                self._member_changed(action.member)
            else:
                self._peer_revision(action)

    def _send(self, action: SendGossip) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = action.message.SerializeToString()
        self._bytes_sent(len(data))
        self._transport.sendto(data, (action.address.host, action.address.port))
