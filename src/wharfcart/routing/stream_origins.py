"""Record core: which software began a stream.

A stream can go on only at the software version that began it, and a caller that resumes one at
another gateway names the request that brought its first event. Gateways record the streams that
they began, granting nodes those whose slots they granted or that gateways report.

This module does no I/O; callers pass in the time in seconds.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from wharfcart.configuration.instances import BackendSoftware

# Longer than callers wait for an answer over all their attempts.
ORIGIN_TTL_S = 120.0
MAX_ORIGINS = 20_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software that a request of a stream was sent to.

    Attributes:
        request_id: id of the request.
        software: software of the back end.
        sequence: rises with each placement of a gateway. A request that brought no event may be
            placed again at other software; of its records the one with the highest number holds.
    """

    request_id: str
    software: BackendSoftware
    sequence: int = 0


class StreamOrigins:
    """Recent origins by request id, bounded in age and number."""

    def __init__(self) -> None:
        self._by_request: OrderedDict[str, tuple[float, StreamOrigin]] = OrderedDict()

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Record an origin unless a later one of its request is known.

        Args:
            origin: the origin.
            now: monotonic time in seconds at which the request was placed.
        """
        known = self.find(origin.request_id, now)
        if known is not None and known.sequence > origin.sequence:
            return
        self._by_request[origin.request_id] = (now, origin)
        self._by_request.move_to_end(origin.request_id)
        self._drop_oldest(now)

    def find(self, request_id: str, now: float) -> StreamOrigin | None:
        """Return the origin of a request's stream, or None if it is unknown."""
        recorded_at, origin = self._by_request.get(request_id, (0.0, None))
        return origin if now - recorded_at < ORIGIN_TTL_S else None

    def recent(self, now: float) -> Iterator[tuple[float, StreamOrigin]]:
        """Yield the origins with their ages in seconds, newest first."""
        for recorded_at, origin in reversed(self._by_request.values()):
            if now - recorded_at >= ORIGIN_TTL_S:
                return
            yield now - recorded_at, origin

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_request

    def __len__(self) -> int:
        return len(self._by_request)

    def _drop_oldest(self, now: float) -> None:
        while self._by_request:
            recorded_at, _ = next(iter(self._by_request.values()))
            if len(self._by_request) <= MAX_ORIGINS and now - recorded_at < ORIGIN_TTL_S:
                return
            self._by_request.popitem(last=False)
