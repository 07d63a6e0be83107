"""Where the replicas of a job group should be, by what one storage node knows of the fleet."""

from collections.abc import Callable

from wharfcart.node.serving_node import ServingNode
from wharfcart.settings.serving import ToleranceSettings
from wharfcart.storage.layout import Layout
from wharfcart.storage.replica_spread import ReplicaSpread


class GroupPlacement:
    """Builds the core's input for one group, anew for each decision.

    Args:
        node: this node.
        tolerance: what may be lost at once.
    """

    def __init__(self, node: ServingNode, tolerance: ToleranceSettings) -> None:
        self._node = node
        self._tolerance = tolerance

    def __call__(self, group: int, layout: Layout | None = None) -> ReplicaSpread:
        """Return where a group's replicas should be.

        Args:
            group: the group.
            layout: the layout that it belongs to; None for the one in force.
        """
        layout = layout or self._node.layout
        copies = self._tolerance.storage_nodes + 1
        topology = self._node.topology
        return ReplicaSpread(
            copies,
            2 * copies - 1,
            {key: entry.zone for key, entry in self._node.storage_by_identity.items()},
            topology,
            () if layout is None else layout.home_zones(group, topology),
            self._tolerance.zones,
            self._residence_filter(group, layout),
        )

    def _residence_filter(self, group: int, layout: Layout | None) -> Callable[[str], bool]:
        """Return whether a disk may hold a group.

        Where data is bound to regions, a group that belongs to one stays there with all of its
        replicas.
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
