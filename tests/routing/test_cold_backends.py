"""Cold back ends as one node knows them, and its own choice among them."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.cold_backends import GATEWAYS_PER_BACKEND, LocalColdShares

LIMIT = ColdLimit(20.0, 3.0)


def cold_selector(cold_for_s: float = 60.0, warm_slots: int = 2) -> BackendSelector:
    choice = BackendSelector("z", Random(1))
    choice.cold.limits = {"s": LIMIT}
    choice.local_cold_shares = LocalColdShares("g", lambda: 1)
    choice.put(BackendInstance("warm", "s", "h", 1, "z", warm_slots, True))
    choice.put(BackendInstance("cold", "s", "h", 1, "z", 8, True, cold_for_s))
    return choice


def select_and_send(choice: BackendSelector, now: float) -> str:
    state = choice.select("s", now)
    if state is None:
        return ""
    choice.record_first_byte(state, choice.record_sent(state, now))
    return state.instance.instance_id


def test_cold_period_starts_when_the_report_arrives() -> None:
    choice = cold_selector(cold_for_s=3.0)
    assert [state.instance.instance_id for state in choice.cold_instances(2.9)] == ["cold"]
    assert not choice.cold_instances(3.0)


def test_nothing_is_cold_in_a_service_without_a_limit() -> None:
    choice = cold_selector()
    choice.cold.limits = {}
    assert not choice.cold_instances(1.0)


def test_local_choice_uses_a_cold_back_end_when_warm_ones_are_full() -> None:
    choice = cold_selector()
    # The share at the cold one fills only from when it is looked at first.
    assert [select_and_send(choice, 1.0) for _ in range(3)] == ["warm"] * 3
    assert select_and_send(choice, 1.1) == "warm"
    assert select_and_send(choice, 2.0) == "cold"
    assert select_and_send(choice, 2.0) == "warm"


def test_requests_sent_while_warm_do_not_use_up_the_cold_share() -> None:
    choice = cold_selector(warm_slots=1)
    for now in (0.0, 0.1, 1.0):
        select_and_send(choice, now)
    choice.put(BackendInstance("cold", "s", "h", 1, "z", 8, True), 2.0)
    sent = [select_and_send(choice, 2.5) for _ in range(50)]
    assert sent.count("cold") > 20
    choice.put(BackendInstance("cold", "s", "h", 1, "z", 8, True, 60.0), 3.0)
    assert "cold" in [select_and_send(choice, 10.0 + n) for n in range(3)]


def test_few_gateways_share_each_cold_back_end() -> None:
    backends = [f"i{n}" for n in range(300)]
    for gateways in (10, 60, 410):
        sharing = [count_gateways_with_share(backend, gateways, gateways) for backend in backends]
        assert max(sharing) <= 6
        assert 0.7 < sum(sharing) / len(backends) / GATEWAYS_PER_BACKEND < 1.3


def test_unknown_fleet_size_is_assumed_large() -> None:
    """Gateways announce themselves to nobody: only granting nodes know how many there are."""
    assert sum(count_gateways_with_share(f"i{n}", 60, 0) for n in range(300)) < 60


def count_gateways_with_share(backend: str, gateways: int, known: int) -> int:
    shares = [LocalColdShares(f"g{n}", lambda: known) for n in range(gateways)]
    for share in shares:
        share.allows(backend, LIMIT, 0.0)
    return sum(share.allows(backend, LIMIT, 99.0) for share in shares)
