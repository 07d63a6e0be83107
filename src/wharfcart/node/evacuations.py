"""Applies, logs and shows the operator's orders to evacuate zones.

An order takes effect as soon as it arrives with the mirror's changes; requests in flight in the
zone complete there. A log line reports when none of this node's requests run there any more.
"""

import asyncio
from collections.abc import Callable

from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import KeyChange
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.routing.backend_selection import BackendSelector

CHECK_INTERVAL_S = 0.25


class ZoneEvacuations:
    """Evacuation orders as applied by one node.

    Args:
        selector: excludes the back ends of evacuated zones.
        log: receives a line when an evacuation starts, when the zone is idle, and when it ends.
        metrics: shows evacuations and requests in flight by zone.
        age_s: returns the seconds since the node's state was last confirmed.
    """

    def __init__(
        self,
        selector: BackendSelector,
        log: DecisionLog,
        metrics: ServingMetrics,
        age_s: Callable[[], float],
    ) -> None:
        self._selector = selector
        self._log = log
        self._metrics = metrics
        self._age_s = age_s
        self._started_at_by_zone: dict[str, float] = {}
        self._idle_zones: set[str] = set()

    def apply(self, change: KeyChange) -> None:
        """Apply an order to evacuate a zone, or its withdrawal."""
        zone = change.key.removeprefix(names.EVACUATE_PREFIX)
        if change.value is None:
            self._finish(zone, change.revision)
        elif zone not in self._started_at_by_zone:
            self._start(zone, change.revision)

    def check_in_flight(self, now: float) -> None:
        """Update the metrics of evacuated zones and log which have become idle."""
        for zone, started_at in self._started_at_by_zone.items():
            in_flight = self._selector.in_flight_in_zone(zone)
            self._metrics.in_flight_in_evacuated_zones.set(zone, in_flight)
            if in_flight:
                self._idle_zones.discard(zone)
            elif zone not in self._idle_zones:
                self._idle_zones.add(zone)
                after_s = round(now - started_at, 2)
                self._log.write(Event.EVACUATION_QUIET, zone=zone, after_s=after_s)

    async def run(self) -> None:
        """Check the evacuated zones periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_in_flight(monotonic())

    def _start(self, zone: str, revision: int) -> None:
        self._started_at_by_zone[zone] = monotonic()
        self._update_eligibility()
        self._metrics.evacuated_zones.set(zone, 1)
        self._write(Event.EVACUATION_BEGUN, zone, revision)

    def _finish(self, zone: str, revision: int) -> None:
        if self._started_at_by_zone.pop(zone, None) is None:
            return
        self._idle_zones.discard(zone)
        self._update_eligibility()
        # Back ends of the zone may just have become cold, which their entries show only later.
        self._selector.cold.zone_restored(zone, monotonic(), revision)
        self._metrics.evacuated_zones.set(zone, 0)
        self._metrics.in_flight_in_evacuated_zones.set(zone, 0)
        self._write(Event.EVACUATION_ENDED, zone, revision)

    def _update_eligibility(self) -> None:
        self._selector.eligibility.evacuated_zones = frozenset(self._started_at_by_zone)

    def _write(self, event: Event, zone: str, revision: int) -> None:
        self._log.write(
            event,
            zone=zone,
            revision=revision,
            in_flight=self._selector.in_flight_in_zone(zone),
            age_s=round(self._age_s(), 2),
        )
