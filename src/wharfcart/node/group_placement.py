"""Desired replica placement of a job group, based on one storage node's view of the fleet."""

from collections.abc import Callable

from wharfcart.node.serving_node import ServingNode
from wharfcart.settings.serving import ToleranceSettings
from wharfcart.storage.layout import Layout
from wharfcart.storage.replica_placement import ReplicaPlacement


class GroupPlacement:
    """Builds the input of the placement core for a group from the current state.

    Args:
        node: this node.
        tolerance: simultaneous failures to tolerate.
    """

    def __init__(self, node: ServingNode, tolerance: ToleranceSettings) -> None:
        self._node = node
        self._tolerance = tolerance

    def __call__(self, group: int, layout: Layout | None = None) -> ReplicaPlacement:
        """Return the desired replica placement of a group.

        Args:
            group: number of the group.
            layout: layout of the group; None for the current one.
        """
        layout = layout or self._node.layout
        copies = self._tolerance.storage_nodes + 1
        topology = self._node.topology
        return ReplicaPlacement(
            copies,
            2 * copies - 1,
            {key: entry.zone for key, entry in self._node.storage_by_identity.items()},
            topology,
            () if layout is None else layout.preferred_zones(group, topology),
            self._tolerance.zones,
            self._residence_filter(group, layout),
        )

    def _residence_filter(self, group: int, layout: Layout | None) -> Callable[[str], bool]:
        """Return a predicate that tells whether a storage identity may hold the group.

        If the configuration restricts residence, all replicas of a regional group stay in its
        region.
        """
        node = self._node
        region = None if layout is None else layout.region(group)

        def may_hold(identity: str) -> bool:
            configuration = node.configuration
            if region is None or configuration is None or not configuration.restricts_residence:
                return True
            entry = node.storage_by_identity.get(identity)
            return entry is not None and node.topology.region(entry.zone) == region

        return may_hold
