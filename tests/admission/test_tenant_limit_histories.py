"""A limit under arbitrary histories of gateways that fall silent, return and start anew."""

from bisect import bisect_right

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.admission.limit_fleet import Fleet, PicturingFleet, whole
from wharfcart.admission.tenant_limits import WINDOW_S
from wharfcart.configuration.serving import RequestLimit

GATEWAYS = 4
# What may go beyond a limit: a gateway without contact may send its part of a window faster than
# evenly, and a home that begins does not know what gateways send that it has not heard.
UNEVEN_SHARE = 0.25
UNEVEN_REQUESTS = 4
RATES = (2.0, 5.0, 20.0, 50.0)
BURSTS = (2.0, 20.0, 50.0)

# No rule below takes longer.
LOOKED_BACK_S = 60.0 + 2 * WINDOW_S

# Drawn from lists: integers and floats are drawn by way of the constants of all loaded modules, so
# that the verdict would depend on which other tests run.
gateways = st.sampled_from(range(GATEWAYS))
rests_s = st.sampled_from([hundredths / 100 for hundredths in range(1, 601)])


class LimitHistory(RuleBasedStateMachine):
    """One tenant's callers at a few gateways; every request that was sent is kept."""

    fleet: Fleet
    fleet_type: type[Fleet] = Fleet

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

    @rule(seconds=rests_s)
    def rest(self, seconds: float) -> None:
        self.fleet.now += seconds

    @rule()
    def tell_pictures(self) -> None:
        self.fleet.tell_pictures()

    @rule(n=gateways)
    def fall_silent(self, n: int) -> None:
        if self.fleet.gateways[n].connected:
            self.fleet.fall_silent(self.fleet.gateways[n])

    @rule(n=gateways)
    def notice(self, n: int) -> None:
        self.fleet.notice(self.fleet.gateways[n])

    @rule(n=gateways)
    def connect(self, n: int) -> None:
        self.fleet.connect(self.fleet.gateways[n])

    @rule(gone=gateways)
    def change_home(self, gone: int) -> None:
        """The next home hears all gateways but perhaps one that was connected before."""
        heard = [gateway for gateway in self.fleet.gateways if gateway.connected]
        self.fleet.change_home()
        for gateway in heard:
            if gateway is not self.fleet.gateways[gone]:
                self.fleet.connect(gateway)

    @invariant()
    def no_window_sees_more(self) -> None:
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        since = fleet.now - LOOKED_BACK_S
        sent = [at for at in fleet.sent if at > since]
        unnoticed = [at for at in fleet.sent_unnoticed if at > since]
        most = (1 + UNEVEN_SHARE) * whole(fleet.limit) + UNEVEN_REQUESTS
        for at in sent:
            assert _in_window(sent, at) <= most + _in_window(unnoticed, at)


def _in_window(times: list[float], until: float) -> int:
    return bisect_right(times, until) - bisect_right(times, until - WINDOW_S)


class PicturedLimitHistory(LimitHistory):
    """The same while a home that lives tells its pictures in time, as in service."""

    fleet_type = PicturingFleet


LimitHistory.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
TestLimitHistory = LimitHistory.TestCase
PicturedLimitHistory.TestCase.settings = LimitHistory.TestCase.settings
TestPicturedLimitHistory = PicturedLimitHistory.TestCase
