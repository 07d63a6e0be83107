"""The three cases of docs/OPERATIONS.md: ``wharfcart explain`` finds the cause by the id."""

import asyncio
import subprocess
import sys

import aiohttp
import pytest

from tests.integration.test_serving_fleet import all_results, run_scenario, submit
from wharfcart.experiments.serving_fleet import PLAIN_SERVICE, ServingFleet
from wharfcart.platform import names


async def explain(fleet: ServingFleet, wanted: str) -> str:
    """Run ``wharfcart explain`` until the logs contain the id; return its output."""
    logs = [str(node.log_path) for node in (*fleet.gateways, *fleet.stores)]
    command = [sys.executable, "-m", "wharfcart", "explain", wanted, *logs]
    for _ in range(20):
        completed = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
        if completed.returncode == 0:
            return completed.stdout
        await asyncio.sleep(0.2)
    raise AssertionError(f"no log line about {wanted}")


def test_a_stream_that_broke_off() -> None:
    async def scenario(fleet: ServingFleet) -> None:
        for server in fleet.stream_servers:
            server.switch.faults.cut_streams = 1
        with pytest.raises(aiohttp.ClientError):
            await fleet.request(0, "/chat/x", "r-cut")
        text = await explain(fleet, "r-cut")
        assert text.splitlines()[0] == "r-cut: cut: broken"
        assert "sends=1" in text and "backend=i-lm-" in text

    run_scenario(scenario)


def test_a_request_that_was_refused() -> None:
    async def scenario(fleet: ServingFleet) -> None:
        for server in fleet.plain_servers:
            await fleet.announce(server, PLAIN_SERVICE, "draining")
            await fleet.store.remove(names.SERVER_PREFIX + server.instance_id)
        await asyncio.sleep(0.5)
        await fleet.request(0, "/charge/x", "r-refused")
        text = await explain(fleet, "r-refused")
        assert text.splitlines()[0] == "r-refused: refused: no_backend"
        assert "sends=0" in text

    run_scenario(scenario)


def test_an_item_that_was_given_up() -> None:
    async def scenario(fleet: ServingFleet) -> None:
        for server in fleet.stream_servers:
            server.failure_status_by_id = {"job1-1": 500}
        assert await submit(fleet, "job1", 2) == 202
        await all_results(fleet, "job1", 2)
        text = await explain(fleet, "job1-1")
        while "item_given_up" not in text:
            await asyncio.sleep(0.2)
            text = await explain(fleet, "job1-1")
        assert text.splitlines()[0] == "job1-1: item_given_up: failed 3 times"
        assert text.count("item_retried") == 2

    run_scenario(scenario)
