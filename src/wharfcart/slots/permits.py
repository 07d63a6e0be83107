"""A gateway's permits: whether a tenant may send one more request.

The node that keeps a tenant's limit tells; where it also grants the request's slot, within the
same call. While it does not answer, another storage node stands in for it, and while none does the
gateway goes on by itself (:mod:`wharfcart.admission.tenant_limits`) or asks by way of another one.
"""

import asyncio

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import PermitAnswer
from wharfcart.configuration.serving import RequestLimit
from wharfcart.routing.placement import OverLimitError
from wharfcart.slots.events import SentWithoutPermit
from wharfcart.slots.permit_relays import PermitRelays
from wharfcart.slots.session import SlotSession
from wharfcart.slots.sessions import SlotSessions

# A node that stands in is reached within this time, and a request is still in time after it. Who
# has been without contact for longer than a second is cut off, and waits for nobody.
BACKUP_WAIT_S = 0.2
RECENT_CONTACT_S = 1.0
BACKUP_POLL_S = 0.01
# A request beyond a gateway's own part comes back once the limit's node has probably a successor.
DISCONNECTED_RETRY_AFTER_S = 0.5


class Permit:
    """The permit of one request.

    Args:
        sessions: of the gateway.
        relays: other gateways that may ask for this one.
        tenant: whose request it is.
        limit: of the tenant; None if the request does not count.
    """

    def __init__(
        self,
        sessions: SlotSessions,
        relays: PermitRelays,
        tenant: str,
        limit: RequestLimit | None,
    ) -> None:
        self._sessions = sessions
        self._relays = relays
        self._tenant = tenant
        self._limit = limit

    @property
    def needed(self) -> bool:
        """Whether it is still to be obtained."""
        return self._limit is not None

    def comes_with_slot(self, session: SlotSession) -> bool:
        """Whether a node that is asked for a slot tells of the permit, too."""
        return self.needed and self._sessions.coordinator(self._tenant) is session

    def record_obtained(self) -> None:
        """Note that it came with a slot."""
        if self.needed:
            self._sessions.sends.record(self._tenant, monotonic())
            self._limit = None

    async def obtain(self) -> None:
        """Ask for it where it does not come with a slot.

        Raises:
            OverLimitError: the tenant may not send now.
        """
        if self.needed and not await self._ask(self._sessions.coordinator(self._tenant)):
            await self.obtain_elsewhere()

    async def obtain_elsewhere(self) -> None:
        """Obtain it without the node that keeps the limit.

        Who stands in is asked; else it comes out of this gateway's own part, and once that is used
        up another gateway is asked, which may have more contact.

        Raises:
            OverLimitError: the tenant may not send now.
        """
        if (
            await self._ask(self._sessions.backup_coordinator(self._tenant))
            or self._take_disconnected()
        ):
            return
        if await self._ask_relay():
            return
        await self._wait_for_backup()
        if not await self._ask(self._sessions.backup_coordinator(self._tenant)):
            raise OverLimitError(DISCONNECTED_RETRY_AFTER_S, is_confirmed=False)

    async def answer_for_peer(self) -> PermitAnswer:
        """Ask in place of another gateway; the request counts as this one's."""
        try:
            permitted = not self.needed or await self._obtain_from_coordinators()
        except OverLimitError as error:
            return PermitAnswer(retry_after_ms=int(error.retry_after_s * 1000) + 1)
        return PermitAnswer(permitted=permitted, unsure=not permitted)

    async def _obtain_from_coordinators(self) -> bool:
        if await self._ask(self._sessions.coordinator(self._tenant)):
            return True
        await self._wait_for_backup()
        return await self._ask(self._sessions.backup_coordinator(self._tenant))

    async def _ask_relay(self) -> bool:
        answer = await self._relays.ask(self._tenant)
        if answer is None:
            return False
        if not answer.permitted:
            raise OverLimitError(answer.retry_after_ms / 1000, is_confirmed=True)
        self._limit = None  # counted as the other gateway's
        return True

    async def _wait_for_backup(self) -> None:
        """Wait for a moment until a node stands in, where one may."""
        home = self._sessions.coordinator(self._tenant)
        heard_at = None if home is None else home.last_contact_at
        if heard_at is not None and monotonic() - heard_at > RECENT_CONTACT_S:
            return
        until = monotonic() + BACKUP_WAIT_S
        while self._sessions.backup_coordinator(self._tenant) is None and monotonic() < until:
            if not self._sessions.has_backup_coordinator(self._tenant):
                return
            await asyncio.sleep(BACKUP_POLL_S)

    async def _ask(self, session: SlotSession | None) -> bool:
        """Whether a node told that the permit is given.

        Raises:
            OverLimitError: it told that it is not.
        """
        if session is None or not session.is_available(monotonic()):
            return False
        answer = await session.request_permit(self._tenant)
        if answer is None or answer.unsure:
            return False
        if not answer.permitted:
            raise OverLimitError(answer.retry_after_ms / 1000, is_confirmed=True)
        self.record_obtained()
        return True

    def _take_disconnected(self) -> bool:
        """Whether it could be taken out of this gateway's own part."""
        if not self._may_send_disconnected():
            return False
        self.record_obtained()
        home = self._sessions.coordinator(self._tenant)
        if home is not None:
            home.send(SentWithoutPermit(home.key, self._tenant))
        return True

    def _may_send_disconnected(self) -> bool:
        if self._limit is None:
            return True
        home = self._sessions.coordinator(self._tenant)
        contact_at = None if home is None else home.last_contact_at
        usage = 0 if home is None else home.snapshot.usage.get(self._tenant, 0)
        sends = self._sessions.sends
        return sends.may_send_disconnected(
            self._tenant, self._limit, contact_at, usage, monotonic()
        )
