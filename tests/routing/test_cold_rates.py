"""Cold back ends as one node knows them, and its own choice among them."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.backend_choice import BackendChoice
from wharfcart.routing.cold_rates import GATEWAYS_A_BACKEND, OwnColdShares

LIMIT = ColdLimit(20.0, 3.0)


def choice_of(cold_for_s: float = 60.0, warm_slots: int = 2) -> BackendChoice:
    choice = BackendChoice("z", Random(1))
    choice.cold.limits = {"s": LIMIT}
    choice.own_cold_shares = OwnColdShares("g", lambda: 1)
    choice.put(BackendInstance("warm", "s", "h", 1, "z", warm_slots, True))
    choice.put(BackendInstance("cold", "s", "h", 1, "z", 8, True, cold_for_s))
    return choice


def chosen(choice: BackendChoice, now: float) -> str:
    state = choice.choose("s", now)
    if state is None:
        return ""
    choice.answered(state, choice.sent(state, now))
    return state.instance.instance_id


def test_it_is_cold_for_as_long_as_it_told_counted_from_when_that_came() -> None:
    choice = choice_of(cold_for_s=3.0)
    assert [state.instance.instance_id for state in choice.cold_states(2.9)] == ["cold"]
    assert not choice.cold_states(3.0)


def test_nothing_is_cold_in_a_service_without_a_limit() -> None:
    choice = choice_of()
    choice.cold.limits = {}
    assert not choice.cold_states(1.0)


def test_an_own_choice_takes_a_cold_back_end_once_the_warm_ones_are_full() -> None:
    choice = choice_of()
    # The share at the cold one fills only from when it is looked at first.
    assert [chosen(choice, 1.0) for _ in range(3)] == ["warm"] * 3
    assert chosen(choice, 1.1) == "warm"
    assert chosen(choice, 2.0) == "cold"
    assert chosen(choice, 2.0) == "warm"


def test_what_a_back_end_was_sent_while_it_was_warm_does_not_count_once_it_is_cold() -> None:
    choice = choice_of(warm_slots=1)
    for now in (0.0, 0.1, 1.0):
        chosen(choice, now)
    choice.put(BackendInstance("cold", "s", "h", 1, "z", 8, True), 2.0)
    sent = [chosen(choice, 2.5) for _ in range(50)]
    assert sent.count("cold") > 20
    choice.put(BackendInstance("cold", "s", "h", 1, "z", 8, True, 60.0), 3.0)
    assert "cold" in [chosen(choice, 10.0 + n) for n in range(3)]


def test_few_gateways_have_a_share_at_one_back_end_and_each_back_end_has_some() -> None:
    backends = [f"i{n}" for n in range(300)]
    for gateways in (10, 60, 410):
        sharing = [gateways_with_a_share(backend, gateways, gateways) for backend in backends]
        assert max(sharing) <= 6
        assert 0.7 < sum(sharing) / len(backends) / GATEWAYS_A_BACKEND < 1.3


def test_a_fleet_of_unknown_size_is_taken_for_a_large_one() -> None:
    """Gateways announce themselves to nobody: only granting nodes know how many there are."""
    assert sum(gateways_with_a_share(f"i{n}", 60, 0) for n in range(300)) < 60


def gateways_with_a_share(backend: str, gateways: int, known: int) -> int:
    shares = [OwnColdShares(f"g{n}", lambda: known) for n in range(gateways)]
    for share in shares:
        share.allows(backend, LIMIT, 0.0)
    return sum(share.allows(backend, LIMIT, 99.0) for share in shares)
