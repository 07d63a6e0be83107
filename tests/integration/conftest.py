"""Steps of the scenarios over fleets of separate processes."""

import asyncio
import json
import os
import shutil
import signal
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import aiohttp
import pytest
from pytest_bdd import given, parsers, then, when

from tests.integration.clients import Client, Effect
from wharfcart.emulator.engine_core import answer_text
from wharfcart.experiments.dev_fleet import STORAGE_NODES
from wharfcart.experiments.example_fleets import Profile
from wharfcart.experiments.main_job import MainJob, TargetFleet
from wharfcart.experiments.process_fleet import NodeProcess, ProcessFleet

EFFECTS = 60
BATCH_ITEMS = 1500
EACH_DISK_ITEMS = 50
FREEZE_S = 4.0
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1

_Value = TypeVar("_Value")


@dataclass
class World:
    """State that the steps of one scenario share."""

    fleet: ProcessFleet
    victim: NodeProcess | None = None
    exit_code: int | None = None
    streams: list[bool] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    job_id: str = ""
    items: list[str] = field(default_factory=list)
    answers: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    passed: bool = False
    statuses: list[set[int]] = field(default_factory=list)


def run(work: Coroutine[Any, Any, _Value]) -> _Value:
    return asyncio.run(work)


@pytest.fixture
def fleets() -> Iterator[list[ProcessFleet]]:
    started: list[ProcessFleet] = []
    yield started
    for fleet in started:
        fleet.stop()


@given(parsers.parse("a fleet of {count:d} nodes"), target_fixture="world")
def a_fleet(count: int, fleets: list[ProcessFleet]) -> World:
    fleet = ProcessFleet(Profile.REGISTRATION, count)
    fleets.append(fleet)
    run(fleet.start())
    return World(fleet)


@given(parsers.parse("a proxied fleet of {count:d} nodes"), target_fixture="world")
def a_proxied_fleet(count: int, fleets: list[ProcessFleet]) -> World:
    fleet = ProcessFleet(Profile.REGISTRATION, count, proxied=True)
    fleets.append(fleet)
    run(fleet.start())
    return World(fleet)


async def until(condition: Any) -> None:
    """Wait until an async condition holds."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(POLL_INTERVAL_S)


async def busiest_leader(fleet: ProcessFleet, url: str | None = None) -> NodeProcess:
    return (await fleet.leaders(url))[0]


# ---- planned stop ----


@when("streams run through a node while it gets SIGTERM")
def streams_and_sigterm(world: World) -> None:
    async def scenario() -> None:
        client = Client(world.fleet)
        world.victim = world.fleet.nodes[0]
        url = world.victim.url
        # Slow streams, so that a node that does not drain interrupts them.
        for address in await world.fleet.addresses("engine"):
            await world.fleet.set_faults(address, slow_factor=8.0)
        tasks = [asyncio.create_task(client.stream(url, f"q{n}")) for n in range(24)]
        await until(lambda: _in_flight(world.fleet))
        world.fleet.send_signal(world.victim, signal.SIGTERM)
        world.streams = list(await asyncio.gather(*tasks))
        world.exit_code = await world.fleet.wait_exit(world.victim)
        await client.close()

    run(scenario())


async def _in_flight(fleet: ProcessFleet) -> bool:
    status = await fleet.status()
    owned = [b for node in status["nodes"] for b in node.get("owned", [])]
    return sum(backend["online_in_flight"] for backend in owned) >= 12


@then("every stream was whole")
def streams_whole(world: World) -> None:
    assert world.streams and all(world.streams)


@then("the node exited with code 0")
def exited(world: World) -> None:
    assert world.exit_code == 0


# ---- process rules ----


@when("online and batch traffic went through all nodes")
def traffic(world: World) -> None:
    async def scenario() -> None:
        client = Client(world.fleet)
        job_id, _ = await client.submit(200)
        await asyncio.gather(
            *(client.stream(url, f"q{n}") for n in range(4) for url in world.fleet.urls)
        )
        await client.wait_job(job_id)
        await client.close()

    run(scenario())


@then("no node has child processes, io_uring or shared memory")
def process_rules(world: World) -> None:
    for node in world.fleet.nodes:
        proc = Path(f"/proc/{node.pid}")
        children = [p.read_text() for p in proc.glob("task/*/children")]
        assert "".join(children).strip() == ""
        links = [os.readlink(p) for p in proc.glob("fd/*") if p.exists()]
        assert not [link for link in links if "io_uring" in link or "/dev/shm" in link]
        mapped = (proc / "maps").read_text()
        assert "/dev/shm" not in mapped and "SYSV" not in mapped and "-shm" not in mapped


# ---- effects ----


def _run_effects(world: World, disturb: Any) -> None:
    async def scenario() -> None:
        client = Client(world.fleet)
        world.victim = await busiest_leader(world.fleet)
        # Sends every request twice concurrently, like a client that retries.
        tasks = [
            asyncio.create_task(client.effect(number + copy, f"key-{number}", f"vehicle-{number}"))
            for number in range(EFFECTS)
            for copy in range(2)
        ]
        await asyncio.sleep(0)
        await disturb(world.victim)
        world.effects = list(await asyncio.gather(*tasks))
        await client.close()

    run(scenario())


@when("effects are resent through all nodes while the busiest leader is killed")
def effects_and_kill(world: World) -> None:
    async def kill(victim: NodeProcess) -> None:
        world.fleet.send_signal(victim, signal.SIGKILL)

    _run_effects(world, kill)


@when("effects are resent through all nodes while the busiest leader is frozen")
def effects_and_freeze(world: World) -> None:
    async def freeze(victim: NodeProcess) -> None:
        world.fleet.send_signal(victim, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        world.fleet.send_signal(victim, signal.SIGCONT)

    _run_effects(world, freeze)


async def _degrade_links(world: World) -> None:
    for node in world.fleet.nodes:
        await world.fleet.set_link_faults(
            node, datagram_loss=0.1, datagram_repeat=0.1, delay_seconds=0.005
        )


@when("every link is bad and effects are resent through all nodes")
def effects_over_bad_links(world: World) -> None:
    async def break_connections(victim: NodeProcess) -> None:
        await _degrade_links(world)
        for node in world.fleet.nodes:
            await world.fleet.set_link_faults(
                node, datagram_loss=0.1, datagram_repeat=0.1, broken_connections=4
            )

    _run_effects(world, break_connections)


@when("every link is bad and a batch job runs")
def job_over_bad_links(world: World) -> None:
    async def disturb() -> None:
        await _degrade_links(world)
        await _wait_for_busy_node(world)
        for node in world.fleet.nodes:
            await world.fleet.set_link_faults(
                node, datagram_loss=0.1, delay_seconds=0.005, broken_connections=4
            )

    _run_job(world, disturb)


@when("effects are resent through all nodes while the busiest leader is cut off")
def effects_and_cut(world: World) -> None:
    async def cut(victim: NodeProcess) -> None:
        await world.fleet.set_link_faults(victim, cut=True)
        other = next(node for node in world.fleet.nodes if node is not victim)

        async def replaced() -> bool:
            status = await world.fleet.status(other.url)
            led = sum(node.get("led_shards", 0) for node in status["nodes"])
            seen = {node["node_id"]: node["answers"] for node in status["nodes"]}
            return not seen.get(victim.node_id, False) and led == world.fleet.shards

        await until(replaced)
        await world.fleet.set_link_faults(victim, cut=False)

    _run_effects(world, cut)


@then("after the cut a configuration change is in force on every node")
def change_after_cut(world: World) -> None:
    async def accepted() -> bool:
        await _change(world, "after the cut", None, world.fleet.urls[0])
        status, answer = world.answers[-1]
        return status == 200 and bool(answer["in_force"])

    run(until(accepted))


@then("every effect happened at most once")
def at_most_once(world: World) -> None:
    ledger = run(world.fleet.ledger())
    paths = [effect["path"] for effect in ledger]
    doubled = {path for path in paths if paths.count(path) > 1}
    assert not doubled
    assert len(paths) <= EFFECTS


@then("every effect is completed or its answer says what is known")
def effects_answered(world: World) -> None:
    completed = {effect["path"].rsplit("/", 1)[1] for effect in run(world.fleet.ledger())}
    by_key: dict[str, set[str]] = {}
    for effect in world.effects:
        status, outcome, body = effect.answers[-1]
        vehicle = effect.key.replace("key", "vehicle")
        assert status == 200 or outcome == "unknown", effect.answers[-3:]
        if status == 200:
            assert vehicle in completed
            by_key.setdefault(effect.key, set()).add(body)
        for earlier_status, earlier_outcome, _ in effect.answers[:-1]:
            assert earlier_status != 200
            assert earlier_outcome in ("not_run", "unknown", "no answer")
    assert all(len(bodies) == 1 for bodies in by_key.values())
    assert len(by_key) >= EFFECTS * 0.9


@then("a killed node that starts again takes part again")
def starts_again(world: World) -> None:
    assert world.victim is not None
    world.fleet.start_node(world.victim)

    async def ready() -> bool:
        assert world.victim is not None
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"{world.victim.url}/readyz") as response,
            ):
                return response.status == 200
        except aiohttp.ClientError:
            return False

    run(until(ready))


# ---- batch ----


def _run_job(world: World, disturb: Any) -> None:
    async def scenario() -> None:
        client = Client(world.fleet)
        world.job_id, world.items = await client.submit(BATCH_ITEMS)
        await disturb()
        await client.wait_job(world.job_id)
        await client.close()

    run(scenario())


async def _wait_for_busy_node(world: World) -> NodeProcess:
    """Wait until a node runs several batch items; return the node with the most."""
    while True:
        status = await world.fleet.status()
        running = {
            node["node_id"]: sum(b["batch_in_flight"] for b in node.get("owned", []))
            for node in status["nodes"]
        }
        busiest = max(running, key=lambda name: running[name])
        if running[busiest] >= 8:
            return next(node for node in world.fleet.nodes if node.node_id == busiest)
        await asyncio.sleep(0.02)


@when("a batch job runs while a node with items in flight is killed")
def job_and_kill(world: World) -> None:
    async def disturb() -> None:
        victim = await _wait_for_busy_node(world)
        world.fleet.send_signal(victim, signal.SIGKILL)

    _run_job(world, disturb)


@when("a batch job runs while a node is killed and its disk is lost")
def job_and_disk(world: World) -> None:
    async def disturb() -> None:
        await _wait_for_busy_node(world)
        victim = world.victim = await busiest_leader(world.fleet)
        world.fleet.send_signal(victim, signal.SIGKILL)
        await world.fleet.wait_exit(victim)
        assert victim.data_folder is not None
        shutil.rmtree(victim.data_folder)
        world.fleet.start_node(victim)

    _run_job(world, disturb)


@when("a batch job is done and each disk is lost in turn")
def each_disk(world: World) -> None:
    """Poll each node for the job without pause from its start on an empty disk."""

    async def lose(victim: NodeProcess, client: Client) -> None:
        lost = await _storage_identity(world, victim)
        world.fleet.send_signal(victim, signal.SIGKILL)
        await world.fleet.wait_exit(victim)
        assert victim.data_folder is not None
        shutil.rmtree(victim.data_folder)
        world.fleet.start_node(victim)
        world.statuses.append(await client.statuses_until_found(victim, world.job_id))
        # Two lost disks leave no majority: wait until this one is replaced.
        await until(lambda: _replaced(world, lost))

    async def scenario() -> None:
        client = Client(world.fleet)
        world.job_id, world.items = await client.submit(EACH_DISK_ITEMS)
        await client.wait_job(world.job_id)
        for victim in [node for node in world.fleet.nodes if node.data_folder is not None]:
            await lose(victim, client)
        await client.close()

    run(scenario())


@then("no node with a new disk denied the job")
def nothing_denied(world: World) -> None:
    assert len(world.statuses) == STORAGE_NODES
    assert all(statuses <= {200, 503} for statuses in world.statuses), world.statuses


@when("a batch job and effects are done and then two disks are lost")
def two_disks(world: World) -> None:
    async def nothing(victim: Any = None) -> None:
        return

    _run_job(world, nothing)
    _run_effects(world, nothing)

    async def lose() -> None:
        for victim in world.fleet.nodes[:2]:
            world.fleet.send_signal(victim, signal.SIGKILL)
        for victim in world.fleet.nodes[:2]:
            await world.fleet.wait_exit(victim)
            assert victim.data_folder is not None
            shutil.rmtree(victim.data_folder)
            world.fleet.start_node(victim)

    run(lose())


@when("the operator recovers the journal from the survivor")
def recover(world: World) -> None:
    survivor = world.fleet.nodes[2]
    done: set[int] = set()
    headers = {"Authorization": f"Bearer {world.fleet.admin_key}"}

    async def recovered() -> bool:
        async with aiohttp.ClientSession(headers=headers) as session:
            for shard in range(world.fleet.shards):
                url = f"{survivor.url}/admin/v1/journal/{shard}/recover"
                async with session.post(url) as response:
                    # The node refuses while membership still lists the lost disks as live.
                    if response.status == 200:
                        done.add(shard)
        return len(done) == world.fleet.shards

    run(until(recovered))


@then("every effect is replayed from the journal")
def effects_replayed(world: World) -> None:
    async def replay() -> list[Effect]:
        client = Client(world.fleet)
        again = [
            await client.effect(number, f"key-{number}", f"vehicle-{number}")
            for number in range(EFFECTS)
        ]
        await client.close()
        return again

    first = {effect.key: effect.answers[-1][2] for effect in world.effects}
    assert {effect.key: effect.answers[-1][2] for effect in run(replay())} == first
    ledger = [effect["path"] for effect in run(world.fleet.ledger())]
    assert len(ledger) == len(set(ledger)) == EFFECTS


@when("a batch job runs")
def job(world: World) -> None:
    async def nothing() -> None:
        return

    _run_job(world, nothing)


@then("every item completed exactly once with its own answer")
def items_exactly_once(world: World) -> None:
    async def results() -> list[dict[str, Any]]:
        client = Client(world.fleet)
        found = await client.results(world.job_id)
        await client.close()
        return found

    found = run(results())
    assert sorted(result["custom_id"] for result in found) == sorted(world.items)
    for result in found:
        content = result["response"]["body"]["choices"][0]["message"]["content"]
        assert content == answer_text(result["custom_id"], 32)


@then("the new disk became a replica of every shard")
def repaired(world: World) -> None:
    async def all_replaced() -> bool:
        status = await world.fleet.status(world.fleet.urls[-1])
        replicas = [set(shard["replicas"]) for shard in status["shards"]]
        return all(len(names) == 3 for names in replicas) and await _no_dead_replica(world)

    run(until(all_replaced))


async def _no_dead_replica(world: World) -> bool:
    status = await world.fleet.status(world.fleet.urls[-1])
    live = {node["storage_identity"] for node in status["nodes"] if node["storage"]}
    return all(set(shard["replicas"]) <= live for shard in status["shards"])


async def _storage_identity(world: World, wanted: NodeProcess) -> str:
    status = await world.fleet.status(world.fleet.urls[-1])
    return next(
        node["storage_identity"] for node in status["nodes"] if node["node_id"] == wanted.node_id
    )


async def _replaced(world: World, lost: str) -> bool:
    status = await world.fleet.status(world.fleet.urls[-1])
    replicas = [set(shard["replicas"]) for shard in status["shards"]]
    return all(len(names) == 3 and lost not in names for names in replicas)


# ---- key-value service ----


@when("the key-value service goes down and the busiest leader is killed")
def kv_outage(world: World) -> None:
    async def scenario() -> None:
        await world.fleet.set_faults(world.fleet.key_value, outage=True)
        victim = world.victim = await busiest_leader(world.fleet)
        world.fleet.send_signal(victim, signal.SIGKILL)

    run(scenario())


async def _change(world: World, value: str, revision: int | None, url: str) -> None:
    document = {
        "deployments": [
            {
                "name": "plates",
                "tenant": "registry-office",
                "template": "plate-check",
                "parameters": {"office": value},
            }
        ]
    }
    headers = {"Authorization": f"Bearer {world.fleet.admin_key}"}
    if revision is not None:
        headers["If-Match"] = f'"{revision}"'
    body = {"document": json.dumps(document), "author": value, "wait": True}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(f"{url}/admin/v1/configuration", json=body) as response,
    ):
        world.answers.append((response.status, await response.json()))


def _living_url(world: World) -> str:
    return next(node.url for node in world.fleet.nodes if node is not world.victim)


@then("a configuration change is refused as not run and says why")
def refused(world: World) -> None:
    run(_change(world, "during outage", None, _living_url(world)))
    status, answer = world.answers[-1]
    assert status == 503
    assert answer["outcome"] == "not_run"
    assert "key-value" in answer["error"]["message"]


@then("the change is accepted once the service is back")
def accepted_after(world: World) -> None:
    run(world.fleet.set_faults(world.fleet.key_value, outage=False))
    run(_change(world, "after outage", None, _living_url(world)))
    assert world.answers[-1][0] == 200


@when("the answer to a configuration change is lost")
def lost_answer(world: World) -> None:
    async def scenario() -> None:
        await world.fleet.set_faults(world.fleet.key_value, lost_writes=1)
        await _change(world, "lost answer", None, world.fleet.urls[0])

    run(scenario())


@then("the change is reported accepted at one revision")
def accepted_once(world: World) -> None:
    async def history() -> list[dict[str, Any]]:
        headers = {"Authorization": f"Bearer {world.fleet.admin_key}"}
        url = f"{world.fleet.urls[0]}/admin/v1/configuration/history"
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.get(url) as response,
        ):
            return list((await response.json())["records"])

    status, answer = world.answers[-1]
    assert status == 200
    assert answer["revision"] == 2
    records = [r for r in run(history()) if r["author"] == "lost answer"]
    assert [record["revision"] for record in records] == [2]


@then("it is in force on every node")
def in_force(world: World) -> None:
    status = run(world.fleet.status())
    assert {node["configuration_revision"] for node in status["nodes"]} == {2}


@when("two operators change the same deployment from the same revision")
def race(world: World) -> None:
    async def scenario() -> None:
        one, other = world.fleet.urls[0], world.fleet.urls[1]
        await asyncio.gather(
            _change(world, "operator one", 1, one), _change(world, "operator two", 1, other)
        )

    run(scenario())


@then("one is accepted and the other learns what changed")
def one_wins(world: World) -> None:
    by_status = {status: answer for status, answer in world.answers}
    assert set(by_status) == {200, 412}
    loser = by_status[412]
    assert loser["outcome"] == "not_run"
    assert loser["revision"] == 2
    (changed,) = loser["changed"]
    assert changed["author"] in ("operator one", "operator two")
    assert changed["changes"][0]["key"] == "deployment/registry-office/plates"


# ---- back ends ----


@when("the machine list says that an engine is leaving")
def engine_leaves(world: World) -> None:
    async def scenario() -> None:
        machines = world.fleet.machine_list.removesuffix("/targets")
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"{machines}/control/machines/engine-1", json={"state": "leaving"}
            ) as response,
        ):
            assert response.status == 200

    run(scenario())


@then("the engine gets no new work after 3 seconds")
def no_new_work(world: World) -> None:
    async def scenario() -> tuple[int, int]:
        client = Client(world.fleet)
        await asyncio.sleep(3.0)  # time after which the engine must get no new work
        before = await _prompt_tokens(world)
        urls = world.fleet.urls
        streams = [client.stream(urls[n % len(urls)], f"q{n}") for n in range(60)]
        assert all(await asyncio.gather(*streams))
        after = await _prompt_tokens(world)
        await client.close()
        return before, after

    before, after = run(scenario())
    assert before == after


async def _prompt_tokens(world: World) -> int:
    async with aiohttp.ClientSession() as session:
        address = (await world.fleet.addresses("engine"))[0]
        async with session.get(f"http://{address}/status") as response:
            return int((await response.json())["prompt_tokens"])


# ---- main job ----


@when("the main job runs")
def main_job(world: World) -> None:
    target = TargetFleet(world.fleet.urls, world.fleet.admin_key, world.fleet.profile)
    world.passed = run(MainJob(target, 5000).run())


@then("every promise was kept")
def all_checks_passed(world: World) -> None:
    assert world.passed
