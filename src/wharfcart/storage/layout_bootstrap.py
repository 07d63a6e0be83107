"""Bootstrap of a fleet: writes the layout and the initial record of each group."""

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
from wharfcart.storage.layout import plan_group_records, plan_layout

POLL_INTERVAL_S = 0.05
# Storage nodes of a starting fleet announce themselves within this time.
GATHER_TIMEOUT_S = 1.5
# Time without a new announcement after which the node list counts as complete.
SETTLE_S = 0.3
RETRY_DELAY_S = 0.3


class LayoutBootstrap:
    """One storage node's part in the first start of a fleet.

    Every node waits for the others to announce themselves. The node with the lowest identity then
    writes the layout and the records in one transaction, which fails if any of them exists.

    Args:
        context: resources shared by the groups of this node.
        layout_key: key of the layout in the coordination service.
        group_key: key of a group's record, by the group's number.
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
        self._known_count = 0
        self._known_since = monotonic()

    async def run(self) -> None:
        """Wait until there is a layout, and write it if this node is the one to do so."""
        started_at = monotonic()
        while self._context.mirror.get(self._layout_key) is None:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._should_write(started_at):
                await self._write_layout()

    def _should_write(self, started_at: float) -> bool:
        known = self._zones_by_identity()
        now = monotonic()
        if len(known) != self._known_count:
            self._known_count = len(known)
            self._known_since = now
        if self._context.identity not in known or len(known) < self._context.write_quorum:
            return False
        if self._context.mirror.last_revision == 0 or min(known) != self._context.identity:
            return False
        is_complete = len(known) >= self._context.replication_factor and self._covers_all_regions(
            known
        )
        settled = is_complete and now - self._known_since >= SETTLE_S
        return settled or now - started_at >= GATHER_TIMEOUT_S

    def _covers_all_regions(self, known: dict[str, str]) -> bool:
        """Whether every region has a node; a region without one never gets its own groups."""
        regions = set(self._topology.region_by_zone.values())
        return regions <= {self._topology.region(zone) for zone in known.values()}

    async def _write_layout(self) -> None:
        zones_by_identity = self._zones_by_identity()
        context = self._context
        layout = plan_layout(zones_by_identity, self._topology, context.write_quorum)
        records = plan_group_records(
            layout,
            zones_by_identity,
            context.replication_factor,
            lambda group: context.placement_of(group, layout),
        )
        put = {self._group_key(group): record.to_bytes() for group, record in enumerate(records)}
        put[self._layout_key] = layout.to_bytes()
        try:
            await self._context.coordination.commit(Transaction(dict.fromkeys(put, 0), put))
        except ConditionFailedError:
            pass  # another node has written it; the mirror delivers the layout
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
        await asyncio.sleep(RETRY_DELAY_S)
