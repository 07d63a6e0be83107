"""A gateway's lookup of the software that began a stream.

Granting nodes keep origins, and so do the other replicas of their groups: some are reported to
them, and a former granting node still has its own. Where a service has several versions all of them
are asked, as the latest origin of a request holds. A gateway that has no session with a granting
node, as after its own start, waits for it for a moment.
"""

import asyncio
from collections.abc import Awaitable, Iterable
from dataclasses import replace

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import StreamOriginAnswer
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.origin_resolution import OriginReport
from wharfcart.slots.messages import known_versions_from_message, origin_from_message
from wharfcart.slots.sessions import SlotSessions

# Longer than a session takes to open once a new granting node is known.
SESSION_WAIT_S = 0.5
CHECK_INTERVAL_S = 0.05


class OriginLookup:
    """Looks up which software began a stream.

    Args:
        selector: the gateway's state of the back ends.
        sessions: sessions with the granting nodes.
    """

    def __init__(self, selector: BackendSelector, sessions: SlotSessions) -> None:
        self._selector = selector
        self._sessions = sessions

    async def find(self, request_id: str, service: str, lifetime_s: float) -> OriginReport:
        """Return what this gateway and other nodes know of the stream of a request.

        Args:
            request_id: the request that brought the stream's first event.
            service: service of the route.
            lifetime_s: seconds after which no caller resumes a stream.
        """
        known = self._selector.known_versions(service, monotonic())
        own = self._sessions.origin_keepers.find(request_id, monotonic())
        if own is not None:
            return OriginReport(own, known, lifetime_s)
        report = OriginReport(None, known, lifetime_s)
        wait_until = monotonic() + SESSION_WAIT_S
        while True:
            sessions = self._sessions.available()
            report = await _ask(
                report, [session.find_origin(request_id, service) for session in sessions]
            )
            if report.needs_no_other_answer:
                return report
            report = await _ask(
                report,
                [
                    self._sessions.find_origin_at_replica(address, group, request_id, service)
                    for address, group in self._sessions.replicas()
                ],
            )
            are_all_asked = len(sessions) == len(self._sessions.by_group) > 0
            is_found = report.origin is not None or report.needs_no_other_answer
            if is_found or are_all_asked or monotonic() > wait_until:
                return report
            await asyncio.sleep(CHECK_INTERVAL_S)


async def _ask(
    report: OriginReport, lookups: Iterable[Awaitable[StreamOriginAnswer | None]]
) -> OriginReport:
    """Return a report with the answers to some lookups; of several origins the latest holds."""
    results = await asyncio.gather(*lookups)
    answers = [answer for answer in results if answer is not None]
    known = report.known
    for answer in answers:
        known = known.merge(known_versions_from_message(answer))
    origins = [
        origin_from_message(answer.origin) for answer in answers if answer.HasField("origin")
    ]
    if report.origin is not None:
        origins.append(report.origin)
    return replace(
        report,
        origin=max(origins, key=lambda origin: origin.sequence, default=None),
        known=known,
        asked=report.asked + len(results),
        answered=report.answered + len(answers),
    )
