"""Load of all back ends as the granting nodes report it, for a gateway's local choice."""

from wharfcart.clock import monotonic
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.slots.session import SlotUpdateListener
from wharfcart.slots.snapshot import BackendLoad, SlotSnapshot


class FleetLoad(SlotUpdateListener):
    """Applies load snapshots to a back-end selector."""

    def __init__(self, selector: BackendSelector) -> None:
        self._selector = selector
        self._rates_by_group: dict[int, dict[str, float]] = {}
        self._instances_by_group: dict[int, set[str]] = {}

    def snapshot_received(self, group: int, snapshot: SlotSnapshot) -> None:
        """Apply the load of a group's back ends; one that is no longer listed counts as idle."""
        now = monotonic()
        listed = {load.instance_id for load in snapshot.backends}
        for instance_id in self._instances_by_group.get(group, set()) - listed:
            self._apply_load(BackendLoad(instance_id, 0), now)
        for load in snapshot.backends:
            self._apply_load(load, now)
        self._instances_by_group[group] = listed
        self._rates_by_group[group] = snapshot.sends_per_s
        self._selector.rates_received(self._total_rates(), now)

    def _apply_load(self, load: BackendLoad, now: float) -> None:
        self._selector.load_received(
            load.instance_id, load.in_use, load.unread_tokens, load.avoided, now
        )

    def _total_rates(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for rates in self._rates_by_group.values():
            for service, rate in rates.items():
                total[service] = total.get(service, 0.0) + rate
        return total
