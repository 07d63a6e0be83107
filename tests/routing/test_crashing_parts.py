"""Parts of prompts that crash back ends, among sound requests that share their other parts."""

import asyncio
from collections.abc import Callable, Iterator
from random import Random

import pytest

from tests.node.test_poison_evidence_sync import Node
from tests.routing.crashing_backends import CrashingFleet, Outcome, virtual_fleet
from wharfcart.experiments.virtual_time import run_in_virtual_time

SEEDS = (1, 2)
REQUESTS_PER_S = 60.0
LOAD_S = 20.0
POISON_SHARE = 0.12
# By the users' rules: seconds after the fifth crash from which such requests may reach back ends at
# most three times, and from which sound ones must begin.
CONTACT_S = 3.0
MAX_CRASHES_SEEN = 5
MAX_LATE_REQUESTS = 3
MIN_SOUND_SHARE = 0.5
Prompt = Callable[[Random], tuple[str, ...]]


def sound_prompt(rng: Random) -> tuple[str, ...]:
    return (f"first{rng.randrange(4)}", f"second{rng.randrange(80)}")


def bad_second_part(rng: Random) -> tuple[str, ...]:
    return (f"first{rng.randrange(4)}", "bad")


def bad_beside_one_first_part(rng: Random) -> tuple[str, ...]:
    return ("first0", "bad")


def bad_first_part(rng: Random) -> tuple[str, ...]:
    return ("bad", f"second{rng.randrange(80)}")


def two_bad_parts(rng: Random) -> tuple[str, ...]:
    return (f"first{rng.randrange(4)}", rng.choice(["bad", "worse"]))


def requests(rng: Random, poison: Prompt | None) -> Iterator[tuple[float, tuple[str, ...]]]:
    at = 0.0
    while at < LOAD_S:
        at += rng.expovariate(REQUESTS_PER_S)
        is_poison = poison is not None and at > 1.0 and rng.random() < POISON_SHARE
        yield at, poison(rng) if is_poison and poison is not None else sound_prompt(rng)


def play(
    seed: int, poison: Prompt | None, prepare: Callable[[CrashingFleet], None], **options: int
) -> CrashingFleet:
    """Play a fleet under load and return it."""
    bad_parts = frozenset() if poison is None else frozenset({"bad", "worse"})

    async def run() -> CrashingFleet:
        fleet = build()
        prepare(fleet)
        await fleet.play(requests(Random(seed), poison))
        fleet.stop()
        return fleet

    with virtual_fleet(lambda: CrashingFleet(seed, bad_parts=bad_parts, **options)) as build:
        return run_in_virtual_time(run())


def late_requests(fleet: CrashingFleet, part: str) -> int:
    """Return how often requests with a part reached back ends after its evidence was complete."""
    crashes = fleet.crashes[part]
    if len(crashes) < MAX_CRASHES_SEEN:
        return 0
    known_at = crashes[MAX_CRASHES_SEEN - 1] + CONTACT_S
    return sum(
        at > known_at
        for outcome in fleet.outcomes
        if part in outcome.parts
        for at in outcome.reached_at
    )


def sound_share(fleet: CrashingFleet, first_part: str, since: float) -> float:
    """Return the share of sound requests with a first part that began at the first attempt."""
    sound = [
        outcome
        for outcome in fleet.outcomes
        if not outcome.is_poison and outcome.parts[0] == first_part and outcome.at >= since
    ]
    return sum(_began(outcome) for outcome in sound) / len(sound)


def _began(outcome: Outcome) -> bool:
    return outcome.status == 200 and outcome.events > 0


def nothing(fleet: CrashingFleet) -> None:
    return


def refuse_gateways(fleet: CrashingFleet) -> None:
    """Let the service refuse gateways; two storage nodes write what gateways relay to them."""
    storage_nodes = [Node(fleet.service, number) for number in (10_001, 10_002)]
    for gateway in fleet.gateways:
        fleet.service.refused_nodes.add(gateway.node.number)
        gateway.node.relays = storage_nodes


# Guards against back ends that crash one after the other under requests that are never alike but
# share one part of their prompts.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("events_before_crash", [0, 1])
@pytest.mark.parametrize("gateways", [1, 8])
@pytest.mark.parametrize(
    "poison", [bad_second_part, bad_beside_one_first_part, bad_first_part, two_bad_parts]
)
def test_requests_with_a_part_that_crashes_back_ends_are_held_back(
    poison: Prompt, gateways: int, events_before_crash: int, seed: int
) -> None:
    fleet = play(seed, poison, nothing, gateways=gateways, events_before_crash=events_before_crash)
    for part in ("bad", "worse"):
        assert late_requests(fleet, part) <= MAX_LATE_REQUESTS


# Guards against evidence that stays at the gateways that saw the crashes, while the coordination
# service refuses gateways.
@pytest.mark.parametrize("seed", SEEDS)
def test_parts_are_held_back_while_the_service_refuses_gateways(seed: int) -> None:
    fleet = play(seed, bad_second_part, refuse_gateways, gateways=8)
    assert late_requests(fleet, "bad") <= MAX_LATE_REQUESTS


# Guards against sound requests that are held back since they share parts with those that crash.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("gateways", [1, 8])
@pytest.mark.parametrize("poison", [bad_second_part, bad_beside_one_first_part])
def test_sound_requests_with_the_same_first_part_begin(
    poison: Prompt, gateways: int, seed: int
) -> None:
    fleet = play(seed, poison, nothing, gateways=gateways)
    crashes = fleet.crashes["bad"]
    since = crashes[min(len(crashes), MAX_CRASHES_SEEN) - 1] + 2 * CONTACT_S
    assert sound_share(fleet, "first0", since) >= MIN_SOUND_SHARE


# Guards against requests that are held back since back ends crash for a cause of their own.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("gateways", [1, 8])
def test_nobody_is_held_back_when_back_ends_crash_of_other_causes(gateways: int, seed: int) -> None:
    def crash_at_random(fleet: CrashingFleet) -> None:
        loop = asyncio.get_running_loop()
        for number in range(28):
            loop.call_later(1.0 + 0.57 * number, crash_one, fleet)

    def crash_one(fleet: CrashingFleet) -> None:
        up = [backend for backend in fleet.backends_by_id.values() if backend.is_up]
        fleet.crash(fleet.rng.choice(up))

    fleet = play(seed, None, crash_at_random, gateways=gateways)
    assert [outcome for outcome in fleet.outcomes if outcome.status == 503] == []
