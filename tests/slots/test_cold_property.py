"""Cold back ends stay within their tolerated rate under disconnects and changes of leadership."""

from collections import defaultdict
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.cold_backends import PERMIT_TTL_S, LocalColdShares
from wharfcart.slots.events import (
    Granted,
    HolderId,
    RequestMode,
    SessionKey,
    SessionOpened,
    SlotNumber,
    SlotReleased,
    SlotRequested,
)
from wharfcart.slots.granter import SlotGranter

STEP_S = 0.025
SEGMENT_S = 0.4
INSTANCE_IDS = ("i0", "i1", "i2")
# Requests in one second above which a back end is assumed to fail: a multiple of its rate and a
# burst.
TOLERATED_RATE_FACTOR = 1.5
TOLERATED_BURST = 5.0


@dataclass(frozen=True)
class Segment:
    """Conditions during a period.

    Attributes:
        disconnected_fraction: share of the gateways that reach no granting node and choose locally.
        cold: instances that are cold.
        change: change of the granting nodes at the start of the period.
        delay_fraction: delay between permit and arrival, as a fraction of the longest one.
        idle: no requests are sent, so that the rate limit buckets fill.
    """

    disconnected_fraction: float
    cold: frozenset[str]
    change: str
    delay_fraction: float
    idle: bool = False


SEGMENTS = st.lists(
    st.builds(
        Segment,
        st.sampled_from((0.0, 0.3, 1.0)),
        st.frozensets(st.sampled_from(INSTANCE_IDS), min_size=1),
        st.sampled_from(("none", "one", "unsure", "replaced", "two")),
        st.sampled_from((0.0, 0.5, 1.0)),
        st.booleans(),
    ),
    min_size=3,
    max_size=12,
)


@dataclass
class System:
    """Granting nodes, and gateways that send every request that is permitted."""

    rate: float
    gateways: int
    now: float = 100.0
    confirmed_granter: SlotGranter | None = None
    granters: list[SlotGranter] = field(default_factory=list)
    arrivals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def __post_init__(self) -> None:
        self.numbers = count(1)
        names = [f"g{n}" for n in range(self.gateways)]
        self.selectors = {name: self._new_selector(name, names) for name in names}
        self.granter_selector = self._new_selector("", [])  # shared by all granting nodes
        self.sessions = {name: SessionKey(HolderId(name), 1) for name in names}
        self.elect_granter()

    def _new_selector(self, name: str, names: list[str]) -> BackendSelector:
        selector = BackendSelector("z", Random(1))
        selector.local_cold_shares = LocalColdShares(name, lambda: len(names)) if name else None
        selector.cold.limits = {"s": ColdLimit(self.rate, 3.0)}
        return selector

    def elect_granter(self) -> None:
        """Let a new node grant; the leadership of the previous one is no longer confirmed."""
        granter: SlotGranter
        granter = SlotGranter(
            self.granter_selector, lambda _instance: True, lambda: self.confirmed_granter is granter
        )
        for session in self.sessions.values():
            granter.handle(SessionOpened(session, "z"), self.now)
        self.granters = [granter, *self.granters][:2]
        self.confirmed_granter = granter

    def apply_change(self, change: str) -> None:
        if change == "none":
            return
        if change == "one":
            self.granters = self.granters[:1]
            self.confirmed_granter = self.granters[0]
        elif change == "unsure":
            self.confirmed_granter = None
        elif change == "replaced":
            self.elect_granter()
            self.granters = self.granters[:1]
        else:
            self.elect_granter()

    def set_cold(self, cold: frozenset[str]) -> None:
        for selector in (self.granter_selector, *self.selectors.values()):
            for name in INSTANCE_IDS:
                cold_for_s = 9.0 if name in cold else 0.0
                entry = BackendInstance(name, "s", "h", 1, "z", 8, True, cold_for_s)
                selector.put(entry, self.now)

    def step(self, segment: Segment) -> None:
        """Let all gateways send until no request is permitted."""
        self.now += STEP_S
        for granter in self.granters:
            granter.tick(self.now)
        if segment.idle:
            return
        disconnected_count = round(len(self.selectors) * segment.disconnected_fraction)
        for n, (name, selector) in enumerate(self.selectors.items()):
            if n < disconnected_count:
                self._select_all(selector, segment)
            else:
                granter = self.granters[n % len(self.granters)]
                self._request_all(granter, self.sessions[name], segment)

    def _request_all(self, granter: SlotGranter, session: SessionKey, segment: Segment) -> None:
        for name in segment.cold:
            others = frozenset(INSTANCE_IDS) - {name}
            number = SlotNumber(next(self.numbers))
            request = SlotRequested(
                session, number, "s", self.now + 1, self.now + 1, RequestMode.FREE, excluded=others
            )
            for instruction in granter.handle(request, self.now):
                if isinstance(instruction, Granted):
                    self._record_arrival(instruction.instance_id, segment)
            granter.handle(SlotReleased(session, number), self.now)

    def _select_all(self, selector: BackendSelector, segment: Segment) -> None:
        for name in segment.cold:
            others = frozenset(INSTANCE_IDS) - {name}
            while (state := selector.select("s", self.now, others)) is not None:
                self._record_arrival(state.instance.instance_id, segment)

    def _record_arrival(self, name: str, segment: Segment) -> None:
        if name in segment.cold:
            self.arrivals[name].append(self.now + segment.delay_fraction * PERMIT_TTL_S)

    def max_arrivals_per_second(self) -> int:
        """Return the largest number of arrivals at one back end within a second."""
        max_count = 0
        for times in self.arrivals.values():
            times.sort()
            first = 0
            for last, time in enumerate(times):
                while time - times[first] >= 1.0:
                    first += 1
                max_count = max(max_count, last - first + 1)
        return max_count


def two_granters(idle_segments: int) -> list[Segment]:
    """Return a history in which two nodes grant for several segments.

    Args:
        idle_segments: segments without requests before and after the second node begins.
    """
    active = Segment(0.3, frozenset(INSTANCE_IDS), "none", 0.0)
    pause = [replace(active, idle=True)] * idle_segments
    return [
        *pause,
        replace(active, change="two", idle=bool(idle_segments)),
        *pause,
        *[active] * 4,
    ]


@example(segments=two_granters(idle_segments=0), rate=40.0, gateways=40)
@example(segments=two_granters(idle_segments=5), rate=4.0, gateways=40)
@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    segments=SEGMENTS,
    rate=st.sampled_from((2.0, 4.0, 19.0, 40.0)),
    gateways=st.sampled_from((2, 10, 40)),
)
def test_cold_back_end_never_exceeds_its_tolerated_rate_in_any_second(
    segments: list[Segment], rate: float, gateways: int
) -> None:
    system = System(rate, gateways)
    for segment in segments:
        system.set_cold(segment.cold)
        system.apply_change(segment.change)
        for _ in range(round(SEGMENT_S / STEP_S)):
            system.step(segment)
    assert system.max_arrivals_per_second() <= TOLERATED_RATE_FACTOR * rate + TOLERATED_BURST


def test_granter_with_confirmed_leadership_uses_most_of_the_cold_rate() -> None:
    system = System(rate=19.0, gateways=10)
    segment = Segment(0.0, frozenset(INSTANCE_IDS), "none", 0.0)
    system.set_cold(segment.cold)
    for _ in range(round(2.0 / STEP_S)):
        system.step(segment)
    for times in system.arrivals.values():
        assert len(times) >= 2.0 * 0.6 * 19.0
