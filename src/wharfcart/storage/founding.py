"""Writes the layout of a fleet and the first record of each group, once and for all."""

import asyncio
from collections.abc import Callable

from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import (
    ConditionFailedError,
    CoordinationUnavailableError,
    Transaction,
)
from wharfcart.cluster.topology import Topology
from wharfcart.observability.decisions import Event
from wharfcart.storage.group_context import GroupContext
from wharfcart.storage.layout import plan_layout, plan_records

PERIOD_S = 0.05
# The storage nodes of a fleet that starts announce themselves within this time.
GATHER_S = 1.5
# No other one has announced itself for so long: these are probably all.
SETTLED_S = 0.3
RETRY_S = 0.3


class Founder:
    """One storage node's part in the first start of a fleet.

    Every node waits for the others to announce themselves. Then the one with the least identity
    writes layout and records in one transaction, on the condition that there are none.

    Args:
        context: what the groups of this node share.
        layout_key: where the layout stands.
        group_key: where a group's record stands.
        zones_by_identity: zone of each storage node that has announced itself.
        topology: regions of the fleet's zones.
    """

    def __init__(
        self,
        context: GroupContext,
        layout_key: str,
        group_key: Callable[[int], str],
        zones_by_identity: Callable[[], dict[str, str]],
        topology: Topology,
    ) -> None:
        self._context = context
        self._layout_key = layout_key
        self._group_key = group_key
        self._zones_by_identity = zones_by_identity
        self._topology = topology
        self._known = 0
        self._known_since = monotonic()

    async def run(self) -> None:
        """Wait until there is a layout; write it if that is this node's part."""
        began_at = monotonic()
        while self._context.mirror.get(self._layout_key) is None:
            await asyncio.sleep(PERIOD_S)
            if self._is_due(began_at):
                await self._found()

    def _is_due(self, began_at: float) -> bool:
        known = self._zones_by_identity()
        now = monotonic()
        if len(known) != self._known:
            self._known = len(known)
            self._known_since = now
        if self._context.identity not in known or len(known) < self._context.copies:
            return False
        if self._context.mirror.last_revision == 0 or min(known) != self._context.identity:
            return False
        complete = len(known) >= self._context.full_size and self._all_regions_in(known)
        settled = complete and now - self._known_since >= SETTLED_S
        return settled or now - began_at >= GATHER_S

    def _all_regions_in(self, known: dict[str, str]) -> bool:
        """Whether every region has a node: what is laid out without one stays so for good."""
        regions = set(self._topology.region_by_zone.values())
        return regions <= {self._topology.region(zone) for zone in known.values()}

    async def _found(self) -> None:
        zones_by_identity = self._zones_by_identity()
        context = self._context
        layout = plan_layout(zones_by_identity, self._topology, context.copies)
        records = plan_records(
            layout,
            zones_by_identity,
            context.full_size,
            lambda group: context.spread_of(group, layout),
        )
        put = {self._group_key(group): record.to_bytes() for group, record in enumerate(records)}
        put[self._layout_key] = layout.to_bytes()
        try:
            await self._context.coordination.commit(Transaction(dict.fromkeys(put, 0), put))
        except ConditionFailedError:
            pass  # another node was faster; the mirror will tell
        except CoordinationUnavailableError as error:
            self._context.log.write(
                Event.DEPENDENCY_LOST, dependency="coordination_service", reason=error.reason
            )
        else:
            self._context.log.write(
                Event.FLEET_FOUNDED,
                zones_by_group=layout.zones_by_group,
                region_by_group=layout.region_by_group,
                disks=len(zones_by_identity),
            )
        await asyncio.sleep(RETRY_S)
