"""Membership driver: the core over UDP datagrams and a timer."""

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
    """Runs one node's membership."""

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
        """Listen and join."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(listen.host, listen.port))
        self._execute(self.membership.start(monotonic()))
        self._task = loop.create_task(self._run())

    async def leave(self) -> None:
        """Announce a planned stop."""
        self._execute(self.membership.leave(monotonic()))

    async def stop(self) -> None:
        """Close the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def announce(self, configuration: int, placement_digest: int, directory: int) -> None:
        """Tell peers a new digest of what this node knows."""
        membership = self.membership
        before = (
            membership.configuration_revision,
            membership.placement_version,
            membership.directory_revision,
        )
        if before == (configuration, placement_digest, directory):
            return
        membership.configuration_revision = configuration
        membership.placement_version = placement_digest
        membership.directory_revision = directory
        self._execute(membership.announce_revision())

    def address_of(self, node_id: str) -> Address | None:
        """Return a node's address."""
        member = self.membership.find(node_id)
        return None if member is None else Address(member.host, member.port)

    def address_of_storage(self, identity: str) -> Address | None:
        """Return the address of the node that holds a disk."""
        for member in [self.membership.local_member, *self.membership.members.values()]:
            # A leaving node still replicates until it is gone.
            if member.storage_identity == identity and member.state != DEAD:
                return Address(member.host, member.port)
        return None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        # uvloop's UDP transport is no subclass of asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram; garbage is dropped."""
        try:
            message = Gossip.FromString(data)
        except Exception:
            logger.warning("bad datagram", extra={"sender": addr[0]})
            return
        now = monotonic()
        sender = Address(addr[0], addr[1])
        self._execute(self.membership.receive(message, sender, now))

    async def _run(self) -> None:
        while True:
            now = monotonic()
            wait = self.membership.next_deadline(now) - now
            await asyncio.sleep(min(MAX_TICK_INTERVAL_S, max(0.005, wait)))
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
