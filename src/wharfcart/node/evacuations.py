"""Zones that the operator asks to empty, as this node takes, shows and logs them.

An order is in force here in the step in which it comes with the mirror's changes; what runs in the
zone ends where it is. A line tells when nothing of this node runs there any more.
"""

import asyncio
from collections.abc import Callable

from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import Change
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.routing.backend_selection import BackendSelector

PERIOD_S = 0.25


class Evacuations:
    """Orders to empty zones, on one node.

    Args:
        choice: is told which zones get nothing, and which are given back.
        log: takes a line as a zone's order comes, as the zone is quiet, and as it is given back.
        metrics: show both by zone.
        age_s: seconds since the node's state was last confirmed.
    """

    def __init__(
        self,
        choice: BackendSelector,
        log: DecisionLog,
        metrics: ServingMetrics,
        age_s: Callable[[], float],
    ) -> None:
        self._choice = choice
        self._log = log
        self._metrics = metrics
        self._age_s = age_s
        self._begun_at: dict[str, float] = {}  # by zone
        self._quiet: set[str] = set()

    def take(self, change: Change) -> None:
        """Take an order to empty a zone, or that it was taken back."""
        zone = change.key.removeprefix(names.EVACUATE_PREFIX)
        if change.value is None:
            self._end(zone, change.revision)
        elif zone not in self._begun_at:
            self._begin(zone, change.revision)

    def look(self, now: float) -> None:
        """Show what still runs in emptied zones, and tell which have become quiet."""
        for zone, begun_at in self._begun_at.items():
            in_flight = self._choice.in_flight_in_zone(zone)
            self._metrics.evacuated_in_flight.set(zone, in_flight)
            if in_flight:
                self._quiet.discard(zone)
            elif zone not in self._quiet:
                self._quiet.add(zone)
                after_s = round(now - begun_at, 2)
                self._log.write(Event.EVACUATION_QUIET, zone=zone, after_s=after_s)

    async def run(self) -> None:
        """Look from time to time until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.look(monotonic())

    def _begin(self, zone: str, revision: int) -> None:
        self._begun_at[zone] = monotonic()
        self._set_evacuated()
        self._metrics.evacuated.set(zone, 1)
        self._write(Event.EVACUATION_BEGUN, zone, revision)

    def _end(self, zone: str, revision: int) -> None:
        if self._begun_at.pop(zone, None) is None:
            return
        self._quiet.discard(zone)
        self._set_evacuated()
        # Its back ends may have turned cold just before, which their entries tell only later.
        self._choice.cold.zone_restored(zone, monotonic(), revision)
        self._metrics.evacuated.set(zone, 0)
        self._metrics.evacuated_in_flight.set(zone, 0)
        self._write(Event.EVACUATION_ENDED, zone, revision)

    def _set_evacuated(self) -> None:
        self._choice.eligibility.evacuated_zones = frozenset(self._begun_at)

    def _write(self, event: Event, zone: str, revision: int) -> None:
        self._log.write(
            event,
            zone=zone,
            revision=revision,
            in_flight=self._choice.in_flight_in_zone(zone),
            age_s=round(self._age_s(), 2),
        )
