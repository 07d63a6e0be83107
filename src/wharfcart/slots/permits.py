"""A gateway's permits: whether a tenant may send one more request.

The limit coordinator of the tenant grants permits. If it also grants the request's slot, one call
returns both. While the coordinator does not respond, a backup coordinator replaces it. Without a
backup the gateway uses its local share of the limit (:mod:`wharfcart.admission.tenant_limits`) or
requests the permit through a relay.
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

# Longest wait of a request for a backup coordinator.
BACKUP_WAIT_S = 0.2
# A gateway whose last contact is older is disconnected and does not wait for a backup.
MAX_CONTACT_AGE_S = 1.0
BACKUP_POLL_S = 0.01
# Leaves time for a new coordinator to be elected.
DISCONNECTED_RETRY_AFTER_S = 0.5


class Permit:
    """The permit of one request.

    Args:
        sessions: sessions of the gateway.
        relays: gateways that request permits on behalf of this one.
        tenant: tenant of the request.
        limit: limit of the tenant; None if the request does not count towards it.
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
        """Whether the permit must still be obtained."""
        return self._limit is not None

    def comes_with_slot(self, session: SlotSession) -> bool:
        """Whether a slot request in this session also obtains the permit."""
        return self.needed and self._sessions.coordinator(self._tenant) is session

    def record_obtained(self) -> None:
        """Record that the permit was obtained."""
        if self.needed:
            self._sessions.sends.record(self._tenant, monotonic())
            self._limit = None

    async def obtain(self) -> None:
        """Obtain the permit separately from a slot.

        Raises:
            OverLimitError: the tenant is over its limit.
        """
        if self.needed and not await self._request_from(self._sessions.coordinator(self._tenant)):
            await self.obtain_elsewhere()

    async def obtain_elsewhere(self) -> None:
        """Obtain the permit without the limit coordinator.

        Tries the backup coordinator, the gateway's local share of the limit, the relays, and after
        a short wait the backup coordinator again.

        Raises:
            OverLimitError: the tenant is over its limit.
        """
        if (
            await self._request_from(self._sessions.backup_coordinator(self._tenant))
            or self._take_disconnected()
        ):
            return
        if await self._request_from_relays():
            return
        await self._wait_for_backup()
        if not await self._request_from(self._sessions.backup_coordinator(self._tenant)):
            raise OverLimitError(DISCONNECTED_RETRY_AFTER_S, is_confirmed=False)

    async def answer_for_peer(self) -> PermitAnswer:
        """Request the permit on behalf of another gateway; it counts as a request of this one."""
        try:
            permitted = not self.needed or await self._obtain_from_coordinators()
        except OverLimitError as error:
            return PermitAnswer(retry_after_ms=int(error.retry_after_s * 1000) + 1)
        return PermitAnswer(permitted=permitted, unsure=not permitted)

    async def _obtain_from_coordinators(self) -> bool:
        if await self._request_from(self._sessions.coordinator(self._tenant)):
            return True
        await self._wait_for_backup()
        return await self._request_from(self._sessions.backup_coordinator(self._tenant))

    async def _request_from_relays(self) -> bool:
        answer = await self._relays.request_permit(self._tenant)
        if answer is None:
            return False
        if not answer.permitted:
            raise OverLimitError(answer.retry_after_ms / 1000, is_confirmed=True)
        self._limit = None  # counted as a request of the relay
        return True

    async def _wait_for_backup(self) -> None:
        """Wait for a limited time until a backup coordinator is available."""
        session = self._sessions.coordinator(self._tenant)
        contact_at = None if session is None else session.last_contact_at
        if contact_at is not None and monotonic() - contact_at > MAX_CONTACT_AGE_S:
            return
        until = monotonic() + BACKUP_WAIT_S
        while self._sessions.backup_coordinator(self._tenant) is None and monotonic() < until:
            if not self._sessions.has_backup_coordinator(self._tenant):
                return
            await asyncio.sleep(BACKUP_POLL_S)

    async def _request_from(self, session: SlotSession | None) -> bool:
        """Whether a coordinator grants the permit; False if it does not respond.

        Raises:
            OverLimitError: the coordinator refuses the permit.
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
        """Take the permit from the gateway's local share of the limit; False if it is used up."""
        if not self._may_send_disconnected():
            return False
        self.record_obtained()
        session = self._sessions.coordinator(self._tenant)
        if session is not None:
            session.send(SentWithoutPermit(session.key, self._tenant))
        return True

    def _may_send_disconnected(self) -> bool:
        if self._limit is None:
            return True
        session = self._sessions.coordinator(self._tenant)
        contact_at = None if session is None else session.last_contact_at
        usage = 0 if session is None else session.snapshot.usage.get(self._tenant, 0)
        sends = self._sessions.sends
        return sends.may_send_disconnected(
            self._tenant, self._limit, contact_at, usage, monotonic()
        )
