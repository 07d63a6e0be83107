"""A limit under arbitrary histories of gateways that fall silent, return and start anew."""

from bisect import bisect_right

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.admission.limit_fleet import LimitFleet, SnapshotFleet, window_limit
from wharfcart.admission.tenant_limits import WINDOW_S
from wharfcart.configuration.serving import RequestLimit

GATEWAYS = 4
# What may go beyond a limit: a gateway without contact may send its part of a window faster than
# evenly, and a home that begins does not know what gateways send that it has not heard.
EXCESS_SHARE = 0.25
EXCESS_REQUESTS = 4
RATES = (2.0, 5.0, 20.0, 50.0)
BURSTS = (2.0, 20.0, 50.0)

# No rule below takes longer.
CHECKED_SPAN_S = 60.0 + 2 * WINDOW_S

# Drawn from lists: integers and floats are drawn by way of the constants of all loaded modules, so
# that the verdict would depend on which other tests run.
gateways = st.sampled_from(range(GATEWAYS))
pauses_s = st.sampled_from([hundredths / 100 for hundredths in range(1, 601)])


class LimitHistory(RuleBasedStateMachine):
    """One tenant's callers at a few gateways; every request that was sent is kept."""

    fleet: LimitFleet
    fleet_type: type[LimitFleet] = LimitFleet

    @initialize(rate=st.sampled_from(RATES), burst=st.sampled_from(BURSTS))
    def begin(self, rate: float, burst: float) -> None:
        self.fleet = self.fleet_type(GATEWAYS, RequestLimit(rate, burst))

    @rule(
        n=gateways,
        count=st.sampled_from(range(1, 61)),
        gap_s=st.sampled_from((0.0, 0.02, 0.1, 0.3)),
    )
    def send(self, n: int, count: int, gap_s: float) -> None:
        for _ in range(count):
            self.fleet.now += gap_s
            self.fleet.request(self.fleet.gateways[n])

    @rule(count=st.sampled_from(range(10, 121)), gap_s=st.sampled_from((0.005, 0.02, 0.1)))
    def send_everywhere(self, count: int, gap_s: float) -> None:
        for turn in range(count):
            self.fleet.now += gap_s
            self.fleet.request(self.fleet.gateways[turn % GATEWAYS])

    @rule(seconds=pauses_s)
    def pause(self, seconds: float) -> None:
        self.fleet.now += seconds

    @rule()
    def publish_snapshots(self) -> None:
        self.fleet.publish_snapshots()

    @rule(n=gateways)
    def become_unresponsive(self, n: int) -> None:
        if self.fleet.gateways[n].connected:
            self.fleet.become_unresponsive(self.fleet.gateways[n])

    @rule(n=gateways)
    def detect_unresponsive(self, n: int) -> None:
        self.fleet.detect_unresponsive(self.fleet.gateways[n])

    @rule(n=gateways)
    def connect(self, n: int) -> None:
        self.fleet.connect(self.fleet.gateways[n])

    @rule(lost=gateways)
    def replace_coordinator(self, lost: int) -> None:
        """The next home hears all gateways but perhaps one that was connected before."""
        heard = [gateway for gateway in self.fleet.gateways if gateway.connected]
        self.fleet.replace_coordinator()
        for gateway in heard:
            if gateway is not self.fleet.gateways[lost]:
                self.fleet.connect(gateway)

    @invariant()
    def windows_stay_within_limit(self) -> None:
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        since = fleet.now - CHECKED_SPAN_S
        sent = [at for at in fleet.sent if at > since]
        unnoticed = [at for at in fleet.sent_unnoticed if at > since]
        most = (1 + EXCESS_SHARE) * window_limit(fleet.limit) + EXCESS_REQUESTS
        for at in sent:
            assert _in_window(sent, at) <= most + _in_window(unnoticed, at)


def _in_window(times: list[float], until: float) -> int:
    return bisect_right(times, until) - bisect_right(times, until - WINDOW_S)


class SnapshotLimitHistory(LimitHistory):
    """The same while a home that lives tells its pictures in time, as in service."""

    fleet_type = SnapshotFleet


LimitHistory.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
TestLimitHistory = LimitHistory.TestCase
SnapshotLimitHistory.TestCase.settings = LimitHistory.TestCase.settings
TestSnapshotLimitHistory = SnapshotLimitHistory.TestCase
