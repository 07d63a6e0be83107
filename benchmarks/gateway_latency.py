"""Measures the latency that nodes add to a back end, their throughput and their memory.

Runs the emulator and four nodes as separate processes. Requests alternate between the back end and
a node that does not own it, so that they pass two nodes. Prints JSON.
"""

import asyncio
import json
import time
from pathlib import Path

import aiohttp
import uvloop

from wharfcart.experiments.example_fleets import Profile
from wharfcart.experiments.process_fleet import NodeProcess, ProcessFleet

REQUESTS_PER_SECOND = 200
DURATION_S = 8
FLOOD_DURATION_S = 4
FLOOD_CONCURRENCY = 64
AUTHORIZATION = {"Authorization": "Bearer registry-office-key"}


async def choose_backend_and_gateway(fleet: ProcessFleet) -> tuple[str, NodeProcess]:
    """Return an application server's address and a node of its zone that does not own it."""
    async with aiohttp.ClientSession() as session, session.get(fleet.machine_list) as response:
        groups = await response.json()
    zone = fleet.nodes[3].zone  # the zone with two nodes
    group = next(
        group
        for group in groups
        if group["labels"]["kind"] == "application" and group["labels"]["zone"] == zone
    )
    status = await fleet.status()
    owners = {
        node["node_id"]
        for node in status["nodes"]
        for owned in node.get("owned", [])
        if owned["backend_id"] == group["labels"]["id"]
    }
    gateway = next(n for n in fleet.nodes if n.zone == zone and n.node_id not in owners)
    return str(group["targets"][0]), gateway


async def stream_tokens(fleet: ProcessFleet, gateway: NodeProcess) -> tuple[int, float]:
    """Stream answers for a while; return tokens and the processor seconds of all nodes."""
    tokens = 0
    end = time.perf_counter() + FLOOD_DURATION_S
    before = sum(cpu_seconds(node) for node in fleet.nodes)

    async def worker(session: aiohttp.ClientSession, number: int) -> None:
        nonlocal tokens
        while time.perf_counter() < end:
            body = {
                "model": "notices",
                "stream": True,
                "messages": [{"role": "user", "content": f"{number} {tokens}"}],
            }
            url = f"{gateway.url}/v1/chat/completions"
            async with session.post(url, json=body, headers=AUTHORIZATION) as response:
                async for line in response.content:
                    tokens += line.startswith(b"data: {")

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(worker(session, number) for number in range(FLOOD_CONCURRENCY)))
    return tokens, sum(cpu_seconds(node) for node in fleet.nodes) - before


async def timed_get(session: aiohttp.ClientSession, url: str, headers: dict[str, str]) -> float:
    started_at = time.perf_counter()
    async with session.get(url, headers=headers) as response:
        await response.read()
        assert response.status == 200, response.status
    return time.perf_counter() - started_at


async def measure_latency(
    session: aiohttp.ClientSession, gateway: NodeProcess, backend: str
) -> tuple[list[float], list[float]]:
    """Send at a fixed rate, alternately to the back end and through a node."""
    direct: list[float] = []
    through: list[float] = []
    tasks: list[asyncio.Task[None]] = []

    async def one(number: int) -> None:
        if number % 2:
            direct.append(await timed_get(session, f"http://{backend}/status/{number}", {}))
        else:
            url = f"{gateway.url}/v1/services/status/{number}"
            through.append(await timed_get(session, url, AUTHORIZATION))

    started_at = time.perf_counter()
    for number in range(REQUESTS_PER_SECOND * 2 * DURATION_S):
        wait = started_at + number / (REQUESTS_PER_SECOND * 2) - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.create_task(one(number)))
    await asyncio.gather(*tasks)
    return sorted(direct), sorted(through)


def resident_megabytes(node: NodeProcess) -> float:
    status = Path(f"/proc/{node.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return round(int(line.split()[1]) / 1024, 1)


def cpu_seconds(node: NodeProcess) -> float:
    fields = Path(f"/proc/{node.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def measure_throughput(session: aiohttp.ClientSession, gateway: NodeProcess) -> float:
    """Return the requests per second through one node in a closed loop."""
    done = 0
    end = time.perf_counter() + FLOOD_DURATION_S

    async def worker(number: int) -> None:
        nonlocal done
        while time.perf_counter() < end:
            async with session.get(
                f"{gateway.url}/v1/services/status/{number}", headers=AUTHORIZATION
            ) as response:
                await response.read()
                done += response.status == 200

    await asyncio.gather(*(worker(number) for number in range(FLOOD_CONCURRENCY)))
    return done / FLOOD_DURATION_S


def percentile(values: list[float], percent: float) -> float:
    return round(values[int(len(values) * percent / 100)] * 1000, 2)


async def main() -> None:
    fleet = ProcessFleet(Profile.REGISTRATION, 4)
    for tenant in fleet.document["tenants"]:
        tenant["limits"] = {"requests_per_second": 100_000, "burst": 100_000}
    for template in fleet.document["templates"]:
        template["limits"] = {"requests_per_second": 100_000, "burst": 100_000}
    try:
        await fleet.start()
        await asyncio.sleep(3)
        idle_cpu = cpu_seconds(fleet.nodes[3])
        await asyncio.sleep(5)
        idle_cpu = (cpu_seconds(fleet.nodes[3]) - idle_cpu) / 5 * 100
        idle = {node.node_id: resident_megabytes(node) for node in fleet.nodes}
        backend, gateway = await choose_backend_and_gateway(fleet)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            direct, through = await measure_latency(session, gateway, backend)
            cpu = cpu_seconds(gateway)
            per_second = await measure_throughput(session, gateway)
            cpu = (cpu_seconds(gateway) - cpu) / (per_second * FLOOD_DURATION_S)
        tokens, token_cpu = await stream_tokens(fleet, gateway)
        figures = {
            "benchmark": "gateway_latency",
            "rate_per_second": REQUESTS_PER_SECOND,
            "bare_p50_ms": percentile(direct, 50),
            "bare_p99_ms": percentile(direct, 99),
            "through_p50_ms": percentile(through, 50),
            "through_p99_ms": percentile(through, 99),
            "added_p50_ms": round(percentile(through, 50) - percentile(direct, 50), 2),
            "added_p99_ms": round(percentile(through, 99) - percentile(direct, 99), 2),
            "requests_per_second_one_node": round(per_second),
            "gateway_cpu_microseconds_per_request": round(cpu * 1e6),
            "streamed_tokens_per_second": round(tokens / FLOOD_DURATION_S),
            "cpu_microseconds_per_streamed_token_all_nodes": round(token_cpu / tokens * 1e6, 1),
            "idle_cpu_percent": round(idle_cpu, 2),
            "idle_megabytes": idle,
            "loaded_megabytes": {n.node_id: resident_megabytes(n) for n in fleet.nodes},
        }
        print(json.dumps(figures, indent=2))
    finally:
        fleet.stop()


if __name__ == "__main__":
    uvloop.run(main())
