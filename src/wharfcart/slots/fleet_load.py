"""The load of all back ends as the granting nodes tell it, for a gateway's own choices."""

from wharfcart.clock import monotonic
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.slots.picture import BackendLoad, SlotPicture
from wharfcart.slots.session import SlotNewsTaker


class FleetLoad(SlotNewsTaker):
    """Hands pictures of the load to a choice."""

    def __init__(self, choice: BackendSelector) -> None:
        self._choice = choice
        self._rates_by_group: dict[int, dict[str, float]] = {}
        self._named_by_group: dict[int, set[str]] = {}

    def picture_told(self, group: int, picture: SlotPicture) -> None:
        """Take the load of a group's back ends; one that is named no more has little."""
        now = monotonic()
        named = {load.instance_id for load in picture.backends}
        for instance_id in self._named_by_group.get(group, set()) - named:
            self._take(BackendLoad(instance_id, 0), now)
        for load in picture.backends:
            self._take(load, now)
        self._named_by_group[group] = named
        self._rates_by_group[group] = picture.sends_per_s
        self._choice.rates_received(self._total_rates(), now)

    def _take(self, load: BackendLoad, now: float) -> None:
        self._choice.load_received(
            load.instance_id, load.in_use, load.unread_tokens, load.avoided, now
        )

    def _total_rates(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for rates in self._rates_by_group.values():
            for service, rate in rates.items():
                total[service] = total.get(service, 0.0) + rate
        return total
