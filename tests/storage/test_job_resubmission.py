"""A job id that is submitted again after its job was deleted, while a replica is away."""

import asyncio
import itertools

import pytest

from tests.storage.test_job_group import Fleet, run_scenario
from wharfcart.cluster.messages_pb2 import DONE, NOT_FOUND, ItemOutcome, ReadResults
from wharfcart.experiments.simulated_storage import SimulatedNode

RETURN_DELAYS_S = (0.0, 0.6)
HISTORIES = list(itertools.product((0, 1), (False, True), RETURN_DELAYS_S, range(5)))


def append_results(fleet: Fleet, submission: str, item_numbers: range) -> None:
    """Append results of job "a" that name their submission."""
    leader = fleet.leader
    assert leader is not None and leader.group is not None
    leadership = leader.group.leadership
    assert leadership is not None
    for n in item_numbers:
        text = f"a-{n} {submission}".encode()
        outcome = ItemOutcome(item_id=f"a-{n}", succeeded=True, text=text)
        assert leadership.append_result("a", outcome)
    leader.group.wake_sessions()


async def read_texts(fleet: Fleet) -> list[str]:
    """Return the results of job "a" as a caller reads them from the start."""
    for _ in range(40):
        leader = await fleet.until_led(5.0)
        assert leader.service is not None
        page = await leader.service.read_results(ReadResults(job_id="a"))
        if page.status == DONE:
            return [result.text.decode() for result in page.results]
        await asyncio.sleep(0.05)
    raise AssertionError("the job can't be read")


async def until_read(fleet: Fleet, count: int) -> list[str]:
    """Read results until there are enough; return them."""
    for _ in range(40):
        texts = await read_texts(fleet)
        if len(texts) >= count:
            return texts
        await asyncio.sleep(0.05)
    raise AssertionError(f"fewer than {count} results")


async def separate(fleet: Fleet, node: SimulatedNode, is_killed: bool) -> None:
    if is_killed:
        node.kill()
    else:
        fleet.cut_off(node)


async def rejoin(fleet: Fleet, node: SimulatedNode, is_killed: bool) -> None:
    if is_killed:
        await node.start()
    else:
        fleet.simulation.cut_links.clear()


async def replace_leader(fleet: Fleet) -> None:
    """Cut the leader off until another node leads, and let it return."""
    before = await fleet.until_led(5.0)
    fleet.cut_off(before)
    await fleet.until(lambda: fleet.leader not in (None, before), 8.0)
    fleet.simulation.cut_links.clear()
    await asyncio.sleep(0.5)


@pytest.mark.parametrize(("replica", "is_killed", "delay_s", "new_results"), HISTORIES)
@pytest.mark.parametrize("seed", range(2))
def test_a_page_of_a_job_submitted_again_holds_no_result_of_the_deleted_job(
    seed: int, replica: int, is_killed: bool, delay_s: float, new_results: int
) -> None:
    """Guards against a deleted job's results that replace those of the job submitted again."""

    async def scenario() -> None:
        fleet = Fleet(seed=seed)
        await fleet.start()
        await fleet.submit("a", 6)
        append_results(fleet, "old", range(3 if seed % 2 else 1))
        await asyncio.sleep(1.0)
        leader = await fleet.until_led()
        away = [node for node in fleet.nodes.values() if node is not leader][replica]
        await separate(fleet, away, is_killed)
        await asyncio.sleep(1.0)
        assert leader.group is not None and leader.group.leadership is not None
        leader.group.leadership.delete_job("a")
        leader.group.wake_sessions()
        await asyncio.sleep(0.3)
        await fleet.submit("a", 6)
        append_results(fleet, "new", range(6 - new_results, 6))
        seen = await until_read(fleet, new_results)
        await asyncio.sleep(delay_s)
        await rejoin(fleet, away, is_killed)
        for _ in range(3):
            await replace_leader(fleet)
            texts = await read_texts(fleet)
            assert texts == seen

    run_scenario(scenario)


@pytest.mark.parametrize("replica", (0, 1))
@pytest.mark.parametrize("is_killed", (False, True))
@pytest.mark.parametrize("seed", range(3))
def test_a_deleted_job_does_not_come_back_with_a_replica_that_missed_the_deletion(
    seed: int, replica: int, is_killed: bool
) -> None:
    """Guards against a deleted job whose remaining items run again under the next leader."""

    async def scenario() -> None:
        fleet = Fleet(seed=seed)
        await fleet.start()
        await fleet.submit("a", 6)
        append_results(fleet, "old", range(2))
        await asyncio.sleep(1.0)
        leader = await fleet.until_led()
        away = [node for node in fleet.nodes.values() if node is not leader][replica]
        await separate(fleet, away, is_killed)
        append_results(fleet, "old", range(2, 6))
        await asyncio.sleep(1.0)
        assert leader.group is not None and leader.group.leadership is not None
        leader.group.leadership.delete_job("a")
        leader.group.wake_sessions()
        await asyncio.sleep(0.3)
        leader.kill()
        await rejoin(fleet, away, is_killed)
        await fleet.until(lambda: fleet.leader not in (None, leader), 8.0)
        assert fleet.leader is not None and fleet.leader.service is not None
        page = await fleet.leader.service.read_results(ReadResults(job_id="a"))
        assert page.status == NOT_FOUND
        await leader.start()
        disks = [node.disk.database for node in fleet.nodes.values()]
        await fleet.until(lambda: not any(disk.job_states(0) for disk in disks), 5.0)

    run_scenario(scenario)
