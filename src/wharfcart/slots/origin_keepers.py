"""Origins of a gateway's streams, and the granting nodes that keep a copy of them.

While a service has one version, a granting node records the origin of each stream that it grants a
slot. Else the gateway reports it to two nodes, and so it does where it selected the back end
itself. A node that begins to grant receives the origins that its group keeps when gateways open
their sessions.

This module does no I/O; callers pass in the time in seconds.
"""

from collections.abc import Collection, Iterable
from typing import TypeVar

import xxhash

from wharfcart.cluster.address import Address
from wharfcart.routing.stream_origins import StreamOrigin, StreamOrigins

Keeper = TypeVar("Keeper", int, Address)
# Two, so that the loss of one of them together with the gateway loses no origin.
KEEPERS_PER_STREAM = 2
# Newest first; more would delay the opening of a session.
MAX_REPORTED_ORIGINS = 2000


class OriginKeepers:
    """Recent origins of a gateway, with the groups whose granting nodes keep them."""

    def __init__(self) -> None:
        self._origins = StreamOrigins()
        self._groups_by_request: dict[str, set[int]] = {}

    def find(self, request_id: str, now: float) -> StreamOrigin | None:
        """Return the origin of a request's stream, or None if it is unknown."""
        return self._origins.find(request_id, now)

    def record(self, origin: StreamOrigin, groups: Iterable[int], now: float) -> None:
        """Record the origin of a stream and the groups that keep it."""
        self._origins.record(origin, now)
        self._groups_by_request.setdefault(origin.request_id, set()).update(groups)
        if len(self._groups_by_request) > 2 * len(self._origins):
            self._drop_expired()

    def take_for(self, group: int, now: float) -> list[tuple[float, StreamOrigin]]:
        """Return the origins that a group keeps or is to keep from now on, with their ages."""
        taken = []
        for age_s, origin in self._origins.recent(now):
            groups = self._groups_by_request[origin.request_id]
            if group in groups or not groups:
                groups.add(group)
                taken.append((age_s, origin))
            if len(taken) == MAX_REPORTED_ORIGINS:
                break
        return taken

    def _drop_expired(self) -> None:
        self._groups_by_request = {
            request_id: groups
            for request_id, groups in self._groups_by_request.items()
            if request_id in self._origins
        }


def select_keepers(
    request_id: str, candidates: Collection[Keeper], preferred: Keeper | None = None
) -> list[Keeper]:
    """Return the keepers of the origin of a stream: the preferred one, and others by hashing.

    Rendezvous hashing spreads the streams over the candidates.
    """

    def rank(candidate: Keeper) -> tuple[bool, int]:
        digest = xxhash.xxh64_intdigest(f"{request_id}/{candidate}".encode())
        return candidate != preferred, digest

    ranked = sorted(candidates, key=rank)
    return ranked[:KEEPERS_PER_STREAM]
